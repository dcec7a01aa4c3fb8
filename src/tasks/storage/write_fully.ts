/** Writes to files that take all bytes or fail. */
import type { FileHandle } from "node:fs/promises";
import { NutmegreelError } from "../../core/errors/mod.ts";

/** Thrown if a file takes no more bytes and gives no error. */
export class WriteRefusedError extends NutmegreelError {
  constructor() {
    super("writeRefused", "The disk took no bytes");
  }
}

/** Gets whether an error came from a file or its disk, and may pass. */
export function isStorageError(err: unknown): boolean {
  const { code, syscall } = err as NodeJS.ErrnoException;
  return err instanceof WriteRefusedError ||
    (code !== undefined && syscall !== undefined);
}

/** Errors that name a wrong folder or file, which waiting does not correct. */
const LASTING_CODES: ReadonlySet<string | undefined> = new Set([
  "EEXIST",
  "EINVAL",
  "EISDIR",
  "ELOOP",
  "ENAMETOOLONG",
  "ENOTDIR",
]);

/**
 * Gets whether an error came from a disk that may be usable later: it is full,
 * read-only, not mounted yet, of another owner, or fails.
 */
export function isPassingStorageError(err: unknown): boolean {
  return isStorageError(err) &&
    !LASTING_CODES.has((err as NodeJS.ErrnoException).code);
}

/**
 * Writes all bytes at a position. A disk that is nearly full takes a part of
 * them without an error.
 * @throws WriteRefusedError, or the error of the file, if it does not take all.
 *
 * @example
 * ```ts
 * await writeFully(handle, Buffer.from("abc"), 0);
 * ```
 */
export async function writeFully(
  handle: FileHandle,
  bytes: Uint8Array,
  position: number,
): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    const left = bytes.length - written;
    const { bytesWritten } = await handle
      .write(bytes, written, left, position + written);
    if (bytesWritten === 0) throw new WriteRefusedError();
    written += bytesWritten;
  }
}

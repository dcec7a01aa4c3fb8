/** Reads of a number of bytes from a file. */
import type { FileHandle } from "node:fs/promises";

/** Reads bytes into memory of their own; undefined if there are fewer. */
export async function readFully(
  handle: FileHandle,
  position: number,
  length: number,
): Promise<Buffer | undefined> {
  const bytes = Buffer.allocUnsafeSlow(length);
  let read = 0;
  while (read < length) {
    const { bytesRead } = await handle
      .read(bytes, read, length - read, position + read);
    if (bytesRead === 0) return undefined;
    read += bytesRead;
  }
  return bytes;
}

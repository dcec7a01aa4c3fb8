/** Reads policy documents of limited size from files and control instances. */
import { closeSync, openSync, readSync } from "node:fs";
import { request } from "undici";
import { NutmegreelError } from "../core/errors/mod.ts";

const CHUNK_BYTES = 1_048_576;
const TIMEOUT_MS = 15_000;
const STATUS_OK = 200;

/** Represents a document that cannot be read. */
export class UnreadableSourceError extends NutmegreelError {
  /** @param message - Reason, without any content of the document. */
  constructor(message: string) {
    super("unreadableSource", message);
  }
}

/** Gets whether a source is the address of a control instance. */
export function isAddress(source: string): boolean {
  return /^https?:\/\//.test(source);
}

/**
 * Reads a file, but no more than one byte above the limit.
 * @throws UnreadableSourceError if it cannot be read or is too large.
 */
export function readFileOrThrow(file: string, maxBytes: number): string {
  try {
    return readLimited(file, maxBytes);
  } catch (err) {
    if (err instanceof UnreadableSourceError) throw err;
    throw new UnreadableSourceError(
      `Cannot read the file: ${(err as Error).message}`,
    );
  }
}

function readLimited(file: string, maxBytes: number): string {
  const descriptor = openSync(file, "r");
  try {
    const chunks: Buffer[] = [];
    let size = 0;
    while (size <= maxBytes) {
      const chunk = Buffer.allocUnsafe(
        Math.min(CHUNK_BYTES, maxBytes + 1 - size),
      );
      const read = readSync(descriptor, chunk);
      if (read === 0) return Buffer.concat(chunks).toString("utf8");
      size += read;
      chunks.push(chunk.subarray(0, read));
    }
    throw createTooLargeError(maxBytes);
  } finally {
    closeSync(descriptor);
  }
}

/**
 * Reads the document in force from a control instance.
 * @param address - Address of the instance, as `http://HOST:PORT`.
 * @throws UnreadableSourceError if there is no answer with a document.
 */
export async function readRemoteOrThrow(
  address: string,
  options: { readonly path: string; readonly maxBytes: number },
): Promise<string> {
  try {
    const res = await request(new URL(options.path, address), {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (res.statusCode !== STATUS_OK) {
      res.body.on("error", () => {}).destroy();
      throw new UnreadableSourceError(
        `The control instance answered with status ${res.statusCode}`,
      );
    }
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of res.body) {
      size += chunk.length;
      if (size > options.maxBytes) throw createTooLargeError(options.maxBytes);
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
  } catch (err) {
    if (err instanceof UnreadableSourceError) throw err;
    const { code, message } = err as Error & { code?: string };
    throw new UnreadableSourceError(
      `Cannot read from the control instance: ${message || code}`,
    );
  }
}

function createTooLargeError(maxBytes: number): UnreadableSourceError {
  return new UnreadableSourceError(
    `The document is larger than the ${maxBytes} bytes that are accepted`,
  );
}

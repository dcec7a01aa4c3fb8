/** Views of bytes. */

/**
 * Gets a buffer that shares the memory of bytes.
 *
 * @example
 * ```ts
 * asBuffer(new Uint8Array([104, 105])).toString(); // "hi"
 * ```
 */
export function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Estimates the size of a value in memory and in messages. */

/** Size of a number, a flag or a reference, in bytes. */
const VALUE_BYTES = 8;

/** A value that knows its size, as it is no plain object. */
interface Sized {
  readonly estimatedBytes: number;
}

/**
 * Estimates the size of a value of strings, byte arrays, numbers, lists and
 * plain objects, in bytes. Another object says its size as `estimatedBytes`.
 *
 * @example
 * ```ts
 * estimateBytes({ name: "abcd" }); // 8 + 4 + 8 + 4
 * ```
 */
export function estimateBytes(value: unknown): number {
  if (typeof value === "string") return VALUE_BYTES + value.length;
  if (ArrayBuffer.isView(value)) return VALUE_BYTES + value.byteLength;
  if (typeof value !== "object" || value === null) return VALUE_BYTES;
  if (isSized(value)) return VALUE_BYTES + value.estimatedBytes;
  let bytes = VALUE_BYTES;
  if (Array.isArray(value)) {
    for (const element of value) bytes += estimateBytes(element);
    return bytes;
  }
  for (const [name, member] of Object.entries(value)) {
    bytes += name.length + estimateBytes(member);
  }
  return bytes;
}

function isSized(value: object): value is Sized {
  return !Object.hasOwn(value, "estimatedBytes") && "estimatedBytes" in value;
}

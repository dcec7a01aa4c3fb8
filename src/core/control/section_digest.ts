/** Digests of configuration sections and of changes. */
import { createHash } from "node:crypto";

/**
 * Computes a SHA-256 digest that does not depend on the order of object
 * members.
 *
 * @example
 * ```ts
 * digestOf({ a: 1, b: 2 }) === digestOf({ b: 2, a: 1 }); // true
 * ```
 */
export function digestOf(value: unknown): string {
  return createHash("sha256").update(canonicalJson(value)).digest("hex");
}

/**
 * Serializes a value as JSON with the members of each object sorted by name.
 */
export function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(",")}]`;
  if (value === null || typeof value !== "object") {
    return JSON.stringify(value) ?? "null";
  }
  const members = Object.entries(value)
    .filter(([, member]) => member !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0))
    .map(([name, member]) =>
      `${JSON.stringify(name)}:${canonicalJson(member)}`
    );
  return `{${members.join(",")}}`;
}

/**
 * Gets the names of the members in which two objects differ, sorted.
 *
 * @example
 * ```ts
 * findChangedMembers({ a: 1, b: 2 }, { a: 1, b: 3 }); // ["b"]
 * ```
 */
export function findChangedMembers(from: unknown, to: unknown): string[] {
  const left = from as Record<string, unknown>;
  const right = to as Record<string, unknown>;
  const names = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...names]
    .filter((name) => digestOf(left[name]) !== digestOf(right[name]))
    .sort();
}

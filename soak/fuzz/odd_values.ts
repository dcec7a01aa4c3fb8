/** Generates values as another writer may send them. */
import fc from "fast-check";

const DEPTH = 1_000;

function nest(depth: number): unknown {
  let value: unknown = [];
  for (let i = 0; i < depth; i += 1) value = [value];
  return value;
}

const ODD_VALUES: readonly unknown[] = [
  null,
  "",
  [],
  {},
  true,
  -1,
  0,
  0.5,
  1e15,
  1e300,
  2 ** 53 - 1,
  "10.1.2.3:99999",
  "999.1.2.3:80",
  "10.1.2.3:0",
  "bad id",
  "other",
  nest(DEPTH),
];

/**
 * Generates copies of a valid object in which some members, at any depth, are
 * odd, left out, or joined by others.
 */
export function oddCopies(valid: unknown): fc.Arbitrary<unknown> {
  return fc.infiniteStream(fc.nat()).map((numbers) =>
    copyWithOdd(valid, () => Number(numbers.next().value))
  );
}

function copyWithOdd(value: unknown, next: () => number): unknown {
  const choice = next() % 12;
  if (choice === 0) return ODD_VALUES[next() % ODD_VALUES.length];
  if (Array.isArray(value)) return value.map((item) => copyWithOdd(item, next));
  if (value === null || typeof value !== "object") return value;
  const members = Object.entries(value)
    .filter(() => next() % 24 > 0)
    .map(([key, member]) => [key, copyWithOdd(member, next)]);
  if (choice === 1) members.push(["other", nest(DEPTH)]);
  return Object.fromEntries(members);
}

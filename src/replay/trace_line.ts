/** Format of the lines of a recorded trace. */
import * as z from "zod";

/** Schema of a line: an action and optionally its expected outcome. */
export const traceLineSchema = z.strictObject({
  /** Time, in milliseconds; defaults to that of the previous line. */
  at: z.number().nonnegative().optional(),
  /** Name of the action. */
  do: z.string(),
  /** Parameters of the action. */
  with: z.record(z.string(), z.unknown()).default({}),
  /** Expected outcome; members that it does not name are ignored. */
  expect: z.unknown().optional(),
  /** Invariant that the line demonstrates. */
  shows: z.string().optional(),
});

/** A line of a trace. */
export type TraceLine = z.output<typeof traceLineSchema>;

/** An expected outcome and the actual one. */
export interface TraceOutcome {
  /** Number of the line, starting at 1. */
  readonly line: number;
  /** Name of the action. */
  readonly action: string;
  /** Invariant that the line demonstrates. */
  readonly shows: string | undefined;
  /** Whether the actual outcome matches the expected one. */
  readonly isMet: boolean;
  readonly expected: unknown;
  readonly actual: unknown;
}

/**
 * Gets whether a value matches an expected one.
 *
 * Objects may have further members; arrays must have the same length and are
 * compared element by element.
 */
export function matchesExpected(actual: unknown, expected: unknown): boolean {
  if (Array.isArray(expected)) {
    return Array.isArray(actual) && actual.length === expected.length &&
      expected.every((part, i) => matchesExpected(actual[i], part));
  }
  if (expected === null || typeof expected !== "object") {
    return actual === expected;
  }
  if (actual === null || typeof actual !== "object") return false;
  return Object.entries(expected).every(([name, part]) =>
    matchesExpected((actual as Record<string, unknown>)[name], part)
  );
}

/** Lines of a recorded trace. */
import * as z from "zod";

/** Schema of a line: what happened, and what is to come of it. */
export const traceLineSchema = z.strictObject({
  /** Time, in milliseconds; that of the line before where absent. */
  at: z.number().nonnegative().optional(),
  /** What happened. */
  do: z.string(),
  /** Parts of it. */
  with: z.record(z.string(), z.unknown()).default({}),
  /** Stated outcome; parts that are not named may be anything. */
  expect: z.unknown().optional(),
  /** Promise that the line shows. */
  shows: z.string().optional(),
});

/** A line of a trace. */
export type TraceLine = z.output<typeof traceLineSchema>;

/** A stated outcome and what came. */
export interface TraceOutcome {
  /** Number of the line, from 1. */
  readonly line: number;
  /** What happened. */
  readonly action: string;
  /** Promise that the line shows. */
  readonly shows: string | undefined;
  /** Whether the outcome is as stated. */
  readonly isMet: boolean;
  /** Stated outcome. */
  readonly expected: unknown;
  /** Outcome. */
  readonly actual: unknown;
}

/**
 * Gets whether a value holds all that is stated of it.
 *
 * Objects may hold more members; lists are compared element by element.
 */
export function holds(actual: unknown, stated: unknown): boolean {
  if (Array.isArray(stated)) {
    return Array.isArray(actual) && actual.length === stated.length &&
      stated.every((part, i) => holds(actual[i], part));
  }
  if (stated === null || typeof stated !== "object") return actual === stated;
  if (actual === null || typeof actual !== "object") return false;
  return Object.entries(stated).every(([name, part]) =>
    holds((actual as Record<string, unknown>)[name], part)
  );
}

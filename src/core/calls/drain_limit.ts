/** Decides on requests that arrive while an instance drains. */
import { RouteKind, type RoutePolicy } from "../policy/mod.ts";

/** Input of {@link limitToDrain}. */
export interface DrainLimitInput {
  readonly route: Pick<RoutePolicy, "kind" | "objectiveMs">;
  /** Time that the request may take, in milliseconds. */
  readonly timeMs: number;
  /** Time until the instance ends, in milliseconds. */
  readonly leftMs: number;
}

/**
 * Latency objectives within which a request is expected to end. A request that
 * may not be repeated gets more, as it is lost if the instance ends first; the
 * objective of a stream is that of its first event alone.
 */
const EXPECTED_OBJECTIVES: Readonly<Record<RouteKind, number>> = {
  [RouteKind.Idempotent]: 2,
  [RouteKind.NonIdempotent]: 8,
  [RouteKind.Streaming]: 8,
  [RouteKind.Rollout]: 2,
};

/**
 * Gets the time that a request may take at an instance that ends soon.
 * @returns Undefined if the request is not expected to end before the instance.
 *
 * @example
 * ```ts
 * const route = { kind: RouteKind.Idempotent, objectiveMs: 200 };
 * limitToDrain({ route, timeMs: 2_000, leftMs: 500 }); // 500
 * limitToDrain({ route, timeMs: 2_000, leftMs: 300 }); // undefined
 * ```
 */
export function limitToDrain(
  { route, timeMs, leftMs }: DrainLimitInput,
): number | undefined {
  if (timeMs <= leftMs) return timeMs;
  const expectedMs = route.objectiveMs * EXPECTED_OBJECTIVES[route.kind];
  return Math.min(timeMs, expectedMs) > leftMs ? undefined : leftMs;
}

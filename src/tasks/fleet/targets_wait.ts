/** The wait of an instance that has just started for the list of targets. */
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetFollower } from "./fleet_follower.ts";

/** Longest wait; a control instance sends the list when a link opens. */
const MAX_WAIT_MS = 600;
/** Share of the time that a caller has left that the wait may take. */
const WAIT_FRACTION = 0.25;
const POLL_MS = 25;

/**
 * Waits until a control instance has sent all targets it knows, for a limited
 * time. An instance may know the policy before: no target then seems to have
 * the version that began a stream.
 * @param leftMs - Time that the caller has left, in milliseconds.
 *
 * @example
 * ```ts
 * await untilTargetsKnown(follower, 2_000);
 * ```
 */
export async function untilTargetsKnown(
  follower: Pick<FleetFollower, "targetsSeen">,
  leftMs: number,
): Promise<void> {
  const waitMs = Math.min(MAX_WAIT_MS, leftMs * WAIT_FRACTION);
  const endsAt = performance.now() + waitMs;
  while (
    Object.keys(follower.targetsSeen).length === 0 &&
    performance.now() < endsAt
  ) {
    await sleep(POLL_MS);
  }
}

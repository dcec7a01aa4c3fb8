/** The wait of an instance that has just started for the list of targets. */
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetFollower } from "./fleet_follower.ts";

/** Longest wait, in milliseconds; control instances send the list at links. */
const TARGETS_WAIT_MS = 600;
const POLL_MS = 25;

/**
 * Waits until a control instance has sent all targets it knows, for a limited
 * time. An instance may know the policy before: no target then seems to have
 * the version that began a stream.
 *
 * @example
 * ```ts
 * await untilTargetsKnown(follower);
 * ```
 */
export async function untilTargetsKnown(
  follower: Pick<FleetFollower, "targetsSeen">,
  timeoutMs = TARGETS_WAIT_MS,
): Promise<void> {
  const endsAt = performance.now() + timeoutMs;
  while (
    Object.keys(follower.targetsSeen).length === 0 &&
    performance.now() < endsAt
  ) {
    await sleep(POLL_MS);
  }
}

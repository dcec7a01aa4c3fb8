/** Assigns the health probes of targets to the instances of a data centre. */
import { createHash } from "node:crypto";

/**
 * Gets the instance that probes a target, by rendezvous hashing: if an
 * instance joins or leaves, only the targets that it probes are reassigned.
 *
 * @example
 * ```ts
 * assignProber("planner-1", ["nl-1-a", "nl-1-b"]); // one of the two
 * ```
 */
export function assignProber(
  targetId: string,
  instances: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestScore = "";
  for (const instance of instances) {
    const score = createHash("sha1")
      .update(`${instance} ${targetId}`)
      .digest("hex");
    if (best !== undefined && score <= bestScore) continue;
    best = instance;
    bestScore = score;
  }
  return best;
}

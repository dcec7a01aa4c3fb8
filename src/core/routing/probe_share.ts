/** Divides the probing of a data centre's targets among its instances. */
import { createHash } from "node:crypto";

/**
 * Gets the instance that probes a target: the one whose hash with the target
 * is greatest, so that a change of one instance moves only its own targets.
 *
 * @example
 * ```ts
 * proberOf("planner-1", ["nl-1-a", "nl-1-b"]); // one of the two
 * ```
 */
export function proberOf(
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

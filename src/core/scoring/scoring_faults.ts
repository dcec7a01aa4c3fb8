/** Checks the scoring calls of a batch when it is submitted. */
import type { BatchSpec } from "../batches/mod.ts";
import type { PolicyView } from "../policy/mod.ts";

/**
 * Gets the scoring calls of a batch that no route matches; empty if all can be
 * sent.
 *
 * @example
 * ```ts
 * const faults = findScoringFaults(spec, policy);
 * if (faults.length > 0) refuse(faults);
 * ```
 */
export function findScoringFaults(
  { items }: BatchSpec,
  policy: PolicyView,
): string[] {
  const faults = new Set<string>();
  for (const { scoring } of items) {
    if (scoring === undefined) continue;
    const { host, path } = scoring;
    if (policy.findRoute(host, path) !== undefined) continue;
    faults.add(`Scoring call: no route matches ${host}${path}`);
  }
  return [...faults];
}

/** Bound of how old the weights of a step's samples may be. */
import type { StepSpec } from "../../core/samples/mod.ts";

/**
 * Gets the tighter of the bounds that a step asks for and that its model has.
 * @example
 * tightenStaleness({ maxVersionsBehind: 3 }, { maxVersionsBehind: 1 });
 */
export function tightenStaleness(
  requested: StepSpec["staleness"],
  bound: StepSpec["staleness"],
): StepSpec["staleness"] {
  const ages = [requested.maxAgeMs, bound.maxAgeMs]
    .filter((age) => age !== undefined);
  return {
    maxVersionsBehind: Math.min(
      requested.maxVersionsBehind,
      bound.maxVersionsBehind,
    ),
    maxAgeMs: ages.length === 0 ? undefined : Math.min(...ages),
  };
}

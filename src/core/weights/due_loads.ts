/** Decides which loads of weights come first. */
import type { ModelAssignment } from "./model_shares.ts";

/** What the decision looks at. */
export interface DueLoadsInput {
  /** Newest version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Gets the version of a model at a target. */
  readonly versionOf: (target: string, model: string) => number;
}

/** A load that is due. */
export interface DueLoad {
  readonly id: string;
  readonly model: string;
  readonly version: number;
}

/**
 * Gets the loads that are due, the most urgent first.
 *
 * Targets can load only a few at a time. The model whose best targets are
 * furthest behind comes first, then the one with the fewest targets at hand,
 * so no model waits for the others; the target that is furthest behind goes
 * first, as it may serve no more until then.
 *
 * @example
 * ```ts
 * for (const { id, model, version } of dueLoads(shares, question)) order(id);
 * ```
 */
export function dueLoads(
  assignment: ModelAssignment,
  input: DueLoadsInput,
): DueLoad[] {
  const { newest, versionOf } = input;
  const ranked: { load: DueLoad; rank: readonly number[] }[] = [];
  for (const [model, ids] of assignment) {
    const version = newest.get(model);
    if (version === undefined) continue;
    const versionsBehind = ids.map((id) => version - versionOf(id, model));
    const leastBehind = Math.min(...versionsBehind);
    const upToDate = versionsBehind.filter((gap) => gap <= 0).length;
    ids.forEach((id, i) => {
      if (versionsBehind[i] <= 0) return;
      ranked.push({
        load: { id, model, version },
        rank: [-leastBehind, upToDate, -versionsBehind[i]],
      });
    });
  }
  return ranked.sort((a, b) => compareRanks(a.rank, b.rank)).map((r) => r.load);
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (let i = 0; i < a.length; i += 1) {
    if (a[i] !== b[i]) return a[i] - b[i];
  }
  return 0;
}

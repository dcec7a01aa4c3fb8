/** Orders the weight loads that are due by urgency. */
import type { ModelAssignment } from "./model_assignment.ts";

/** Input of {@link dueLoads}. */
export interface DueLoadsInput {
  /** Newest announced version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Gets the version of a model that a target has loaded. */
  readonly versionOf: (target: string, model: string) => number;
}

/** A weight load that is due. */
export interface DueLoad {
  /** Identifier of the target. */
  readonly id: string;
  readonly model: string;
  readonly version: number;
}

/**
 * Gets the loads that are due, most urgent first.
 *
 * Only a few targets can load at a time. The model whose newest loaded version
 * is furthest behind comes first, then the model with the fewest up-to-date
 * targets, so that no model starves. Within a model the target that is
 * furthest behind comes first, as it may be too outdated to serve.
 *
 * @example
 * ```ts
 * for (const { id, model, version } of dueLoads(assignment, input)) order(id);
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

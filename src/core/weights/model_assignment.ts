/** Assigns targets to the models whose weights they keep up to date. */

/** State of a target that assignment depends on. */
export interface AssignableTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Loaded weight version by model. */
  readonly versions: Readonly<Record<string, number>>;
}

/** Input of the assignment. */
export interface AssignmentInput {
  readonly targets: readonly AssignableTarget[];
  /** Newest announced version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Previously assigned model, by target. */
  readonly previous: ReadonlyMap<string, string>;
}

/** Identifiers of the targets of each model. */
export type ModelAssignment = ReadonlyMap<string, readonly string[]>;

/**
 * Assigns each model an equal share of the targets.
 *
 * A target is out of service while it loads weights, so it is assigned to one
 * model, and stays with that model if possible. If there are fewer targets
 * than models, targets are assigned to several.
 *
 * @example
 * ```ts
 * assignModels({ targets, newest, previous: new Map() }).get("m0");
 * ```
 */
export function assignModels(input: AssignmentInput): ModelAssignment {
  const { targets, newest } = input;
  const models = [...newest.keys()].sort();
  const sorted = [...targets].sort((a, b) => a.id < b.id ? -1 : 1);
  if (sorted.length < models.length) return assignToFewTargets(sorted, models);
  const shares = new Map<string, AssignableTarget[]>(
    models.map((m) => [m, []]),
  );
  const quota = Math.ceil(sorted.length / Math.max(1, models.length));
  const free: AssignableTarget[] = [];
  for (const target of sorted) {
    const assigned = input.previous.get(target.id) ??
      inferModel(target, newest);
    const share = assigned === undefined ? undefined : shares.get(assigned);
    if (share !== undefined && share.length < quota) share.push(target);
    else free.push(target);
  }
  for (const target of free) smallestShare(shares, target).push(target);
  balance(shares);
  return new Map([...shares].map(([m, share]) => [m, share.map((t) => t.id)]));
}

function assignToFewTargets(
  targets: readonly AssignableTarget[],
  models: readonly string[],
): ModelAssignment {
  return new Map(models.map((model, i) => {
    const target = targets[i % Math.max(1, targets.length)];
    return [model, target === undefined ? [] : [target.id]];
  }));
}

/**
 * Infers the model that a target was assigned to from the loaded versions.
 *
 * Targets start with the first version of every model, so models at that
 * version are ignored; of the others the least outdated one is taken.
 * @returns The model, or undefined if there is none or a tie.
 */
function inferModel(
  target: AssignableTarget,
  newest: ReadonlyMap<string, number>,
): string | undefined {
  const gaps = [...newest]
    .filter(([model]) => (target.versions[model] ?? 0) > FIRST_VERSION)
    .map(([model, version]) => ({
      model,
      gap: version - (target.versions[model] ?? 0),
    }))
    .sort((a, b) => a.gap - b.gap);
  if (gaps.length === 0) return undefined;
  if (gaps.length > 1 && gaps[0].gap === gaps[1].gap) return undefined;
  return gaps[0].model;
}

/** Weight version of every model with which targets start. */
export const FIRST_VERSION = 1;

/**
 * Gets the smallest share; of several, the one with the fewest targets in
 * the target's data centre.
 */
function smallestShare(
  shares: ReadonlyMap<string, AssignableTarget[]>,
  target: AssignableTarget,
): AssignableTarget[] {
  const countLocal = (share: readonly AssignableTarget[]) =>
    share.filter((t) => t.dataCentre === target.dataCentre).length;
  return [...shares.values()]
    .sort((a, b) => a.length - b.length || countLocal(a) - countLocal(b))[0];
}

/** Moves targets until the sizes of shares differ by at most one. */
function balance(shares: ReadonlyMap<string, AssignableTarget[]>): void {
  const bySize = () => [...shares.values()].sort((a, b) => a.length - b.length);
  for (let moves = 0; moves < MAX_BALANCE_MOVES; moves += 1) {
    const sorted = bySize();
    const smallest = sorted[0];
    const largest = sorted[sorted.length - 1];
    if (largest.length - smallest.length < 2) return;
    smallest.push(largest.pop()!);
  }
}

/** Maximum number of moves in one assignment. */
const MAX_BALANCE_MOVES = 10_000;

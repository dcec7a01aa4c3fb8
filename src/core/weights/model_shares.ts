/** Decides which targets keep which model up to date. */

/** A target, as the decision sees it. */
export interface AssignableTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Version of the weights by model. */
  readonly versions: Readonly<Record<string, number>>;
}

/** What the decision looks at. */
export interface AssignmentInput {
  readonly targets: readonly AssignableTarget[];
  /** Newest version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Model that each target followed at the last decision. */
  readonly followed: ReadonlyMap<string, string>;
}

/** Targets of each model. */
export type ModelAssignment = ReadonlyMap<string, readonly string[]>;

/**
 * Gives each model its own equal share of the targets.
 *
 * Loading takes a target out for a while, so a target follows one model; it
 * stays with the one that it has followed so far. Where there are fewer
 * targets than models, targets follow several.
 *
 * @example
 * ```ts
 * shareModels({ targets, newest, followed: new Map() }).get("m0");
 * ```
 */
export function shareModels(input: AssignmentInput): ModelAssignment {
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
    const assigned = input.followed.get(target.id) ??
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
 * Gets the model that a target has followed, by what it has loaded.
 *
 * Targets begin with the first version of every model, so those models tell
 * nothing; of the others the one that is least behind is followed.
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

/** Version of every model with which targets begin. */
export const FIRST_VERSION = 1;

/** Gets the smallest share, the one with fewest in the target's data centre. */
function smallestShare(
  shares: ReadonlyMap<string, AssignableTarget[]>,
  target: AssignableTarget,
): AssignableTarget[] {
  const near = (share: readonly AssignableTarget[]) =>
    share.filter((t) => t.dataCentre === target.dataCentre).length;
  return [...shares.values()]
    .sort((a, b) => a.length - b.length || near(a) - near(b))[0];
}

/** Moves targets until no share is larger than another by two. */
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

/** Bound on the moves of one decision. */
const MAX_BALANCE_MOVES = 10_000;

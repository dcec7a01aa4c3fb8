/** Decides which targets keep which model up to date. */

/** A target, as the decision sees it. */
export interface ShareTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Version of the weights by model. */
  readonly versions: Readonly<Record<string, number>>;
}

/** What the decision looks at. */
export interface ShareQuestion {
  readonly targets: readonly ShareTarget[];
  /** Newest version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Model that each target followed at the last decision. */
  readonly followed: ReadonlyMap<string, string>;
}

/** Targets of each model. */
export type ModelShares = ReadonlyMap<string, readonly string[]>;

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
export function shareModels(question: ShareQuestion): ModelShares {
  const { targets, newest } = question;
  const models = [...newest.keys()].sort();
  const sorted = [...targets].sort((a, b) => a.id < b.id ? -1 : 1);
  if (sorted.length < models.length) return shareFew(sorted, models);
  const shares = new Map<string, ShareTarget[]>(models.map((m) => [m, []]));
  const quota = Math.ceil(sorted.length / Math.max(1, models.length));
  const free: ShareTarget[] = [];
  for (const target of sorted) {
    const followed = question.followed.get(target.id) ??
      followedModel(target, newest);
    const share = followed === undefined ? undefined : shares.get(followed);
    if (share !== undefined && share.length < quota) share.push(target);
    else free.push(target);
  }
  for (const target of free) neediest(shares, target).push(target);
  level(shares);
  return new Map([...shares].map(([m, share]) => [m, share.map((t) => t.id)]));
}

function shareFew(
  targets: readonly ShareTarget[],
  models: readonly string[],
): ModelShares {
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
function followedModel(
  target: ShareTarget,
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
function neediest(
  shares: ReadonlyMap<string, ShareTarget[]>,
  target: ShareTarget,
): ShareTarget[] {
  const near = (share: readonly ShareTarget[]) =>
    share.filter((t) => t.dataCentre === target.dataCentre).length;
  return [...shares.values()]
    .sort((a, b) => a.length - b.length || near(a) - near(b))[0];
}

/** Moves targets until no share is larger than another by two. */
function level(shares: ReadonlyMap<string, ShareTarget[]>): void {
  const bySize = () => [...shares.values()].sort((a, b) => a.length - b.length);
  for (let moves = 0; moves < MAX_MOVES; moves += 1) {
    const sorted = bySize();
    const smallest = sorted[0];
    const largest = sorted[sorted.length - 1];
    if (largest.length - smallest.length < 2) return;
    smallest.push(largest.pop()!);
  }
}

/** Bound on the moves of one decision. */
const MAX_MOVES = 10_000;

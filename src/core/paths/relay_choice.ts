/** Choice of the instances that may relay for another one. */

/** An instance that may relay. */
export interface RelayCandidate {
  readonly id: string;
  readonly dataCentre: string;
}

/** Options of {@link chooseRelays}. */
export interface RelayChoiceOptions {
  readonly candidates: readonly RelayCandidate[];
  /** Data centre of the instance that needs them. */
  readonly dataCentre: string;
  /** Gets whether an instance of a data centre may relay; any by default. */
  readonly mayRelay?: (dataCentre: string) => boolean;
  /** Maximum number of instances. */
  readonly count: number;
  /** Returns a random number from 0 to 1, which spreads the load. */
  readonly random: () => number;
}

/**
 * Chooses instances in random order, alternating between the own data centre
 * and others: bytes stay in the data centre unless all of it is cut off.
 *
 * @example
 * ```ts
 * chooseRelays({ candidates, dataCentre: "a", count: 3, random: Math.random });
 * ```
 */
export function chooseRelays(options: RelayChoiceOptions): string[] {
  const { dataCentre, count, random, mayRelay = () => true } = options;
  const candidates = options.candidates.filter((k) => mayRelay(k.dataCentre));
  const shuffled = shuffle(candidates, random);
  const near = shuffled.filter((k) => k.dataCentre === dataCentre);
  const far = shuffled.filter((k) => k.dataCentre !== dataCentre);
  const chosen: string[] = [];
  for (let i = 0; i < Math.max(near.length, far.length); i += 1) {
    for (const candidate of [near[i], far[i]]) {
      if (candidate !== undefined) chosen.push(candidate.id);
    }
  }
  return chosen.slice(0, count);
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
  const shuffled = [...items];
  for (let i = shuffled.length - 1; i > 0; i -= 1) {
    const j = Math.floor(random() * (i + 1));
    [shuffled[i], shuffled[j]] = [shuffled[j], shuffled[i]];
  }
  return shuffled;
}

/** Detection of requests that crash the targets that run them. */

/** Levels of suspicion against a fingerprint. */
export const Suspicion = {
  /** No crash of a target is attributed to it. */
  Clear: "clear",
  /** A target crashed while running it; too little evidence to refuse it. */
  Suspect: "suspect",
  /** Enough targets crashed while running it: requests are refused. */
  Proven: "proven",
} as const;

/** One of the values of {@link Suspicion}. */
export type Suspicion = typeof Suspicion[keyof typeof Suspicion];

/** A change of suspicion, shared with the instances of the data centre. */
export interface SuspicionChange {
  /** Hash of the route and the canonical body. */
  readonly fingerprint: string;
  /** New level of suspicion. */
  readonly suspicion: Suspicion;
  /** Number of targets that crashed while running it. */
  readonly deaths: number;
  /** The last of these targets, each named with its incarnation. */
  readonly targets?: readonly string[];
  /** Time from which one trial run is allowed, in ms since the epoch. */
  readonly trialAt?: number;
  /** Number of trial runs so far. */
  readonly trials?: number;
}

/** Death of a target while it ran a request. */
export interface TargetDeath {
  readonly fingerprint: string;
  /** Target, named with its incarnation. */
  readonly target: string;
  /** Time of the death, in milliseconds since the epoch. */
  readonly at: number;
}

interface Entry extends Omit<SuspicionChange, "fingerprint"> {
  readonly targets: readonly string[];
  readonly trials: number;
}

/** Deaths after which a request is refused even if it never ran alone. */
const MAX_DEATHS = 3;
/** Maximum number of fingerprints; the oldest entry is evicted. */
const MAX_ENTRIES = 10_000;
/** Time from the proof to the first trial run. */
const FIRST_TRIAL_MS = 30_000;
/** Factor by which the time to the next trial run grows. */
const TRIAL_GROWTH = 10;
const MAX_TRIAL_INTERVAL_MS = 3_600_000;
const NEW_ENTRY: Entry = {
  suspicion: Suspicion.Clear,
  deaths: 0,
  targets: [],
  trials: 0,
};

/**
 * Tracks the suspicion against fingerprints.
 *
 * A fingerprint is proven by a crash while it ran alone, if a target has
 * crashed running it before, or by {@link MAX_DEATHS} deaths, alone or not.
 * Since harmless requests may run on targets that crash for another reason, a
 * proven fingerprint gets trial runs at growing intervals.
 *
 * @example
 * ```ts
 * const quarantine = new Quarantine();
 * quarantine.onTargetDied(["f1", "f2"]);
 * quarantine.suspicionOf("f1"); // "suspect"
 * quarantine.onFinished("f2"); // clears the suspicion
 * ```
 */
export class Quarantine {
  readonly #entries = new Map<string, Entry>();

  /** Gets the suspicion against a fingerprint. */
  suspicionOf(fingerprint: string): Suspicion {
    return this.#entries.get(fingerprint)?.suspicion ?? Suspicion.Clear;
  }

  /**
   * Records that a target crashed.
   * @param fingerprints - Fingerprints of all requests that it was running.
   * @param target - The target, named with its incarnation.
   */
  onTargetDied(
    fingerprints: readonly string[],
    target?: string,
  ): SuspicionChange[] {
    const distinct = [...new Set(fingerprints)];
    const isAlone = fingerprints.length === 1;
    return distinct.map((fingerprint) =>
      this.#addDeath(fingerprint, { target, isAlone })
    );
  }

  /**
   * Records that a target crashed under a request whose neighbours are unknown.
   * @returns Undefined if the death is already counted, or proves nothing more.
   */
  recordDeath({ fingerprint, target, at }: TargetDeath):
    | SuspicionChange
    | undefined {
    const entry = this.#entries.get(fingerprint);
    const isProven = entry?.suspicion === Suspicion.Proven;
    if (isProven || entry?.targets.includes(target)) return undefined;
    return this.#addDeath(fingerprint, { target, at, isAlone: false });
  }

  /** Gets the time from which a trial run is allowed; Infinity for none. */
  trialAt(fingerprint: string): number {
    return this.#entries.get(fingerprint)?.trialAt ?? Infinity;
  }

  /**
   * Takes the trial run of a proven fingerprint; the next one is due much later.
   * @param at - Time in milliseconds.
   * @returns False if no trial run is due.
   */
  takeTrial(fingerprint: string, at: number): boolean {
    const entry = this.#entries.get(fingerprint);
    const isProven = entry?.suspicion === Suspicion.Proven;
    if (!isProven || at < this.trialAt(fingerprint)) return false;
    const trials = entry.trials + 1;
    this.#store(fingerprint, {
      ...entry,
      trials,
      trialAt: at + trialIntervalMs(trials),
    });
    return true;
  }

  /** Records a completed request, which clears an unproven suspicion. */
  onFinished(fingerprint: string): SuspicionChange | undefined {
    if (this.suspicionOf(fingerprint) === Suspicion.Proven) return undefined;
    return this.release(fingerprint);
  }

  /**
   * Removes a suspicion, proven or not.
   * @returns Undefined if there is none.
   */
  release(fingerprint: string): SuspicionChange | undefined {
    if (!this.#entries.delete(fingerprint)) return undefined;
    return { fingerprint, suspicion: Suspicion.Clear, deaths: 0 };
  }

  /** Gets the state of a fingerprint, as a change for other instances. */
  changeOf(fingerprint: string): SuspicionChange {
    const { suspicion, ...entry } = this.#entries.get(fingerprint) ?? NEW_ENTRY;
    return { fingerprint, suspicion, ...entry };
  }

  /** Gets the state of all fingerprints under suspicion. */
  save(): SuspicionChange[] {
    return [...this.#entries.keys()].map((key) => this.changeOf(key));
  }

  /** Replaces all fingerprints by saved ones. */
  load(changes: readonly SuspicionChange[]): this {
    this.#entries.clear();
    for (const change of changes) this.replace(change);
    return this;
  }

  /** Replaces the state of a fingerprint by that of an authority. */
  replace({ fingerprint, ...entry }: SuspicionChange): this {
    if (entry.suspicion === Suspicion.Clear) this.#entries.delete(fingerprint);
    else this.#store(fingerprint, { ...NEW_ENTRY, ...entry });
    return this;
  }

  /**
   * Merges a change from another instance: the targets that crashed add up. A
   * proven suspicion is final.
   */
  merge(change: SuspicionChange): this {
    const existing = this.#entries.get(change.fingerprint) ?? NEW_ENTRY;
    if (existing.suspicion === Suspicion.Proven) return this;
    const added = (change.targets ?? [])
      .filter((target) => !existing.targets.includes(target));
    const deaths = Math.max(existing.deaths + added.length, change.deaths);
    const isProven = change.suspicion !== Suspicion.Clear &&
      deaths >= MAX_DEATHS;
    return this.replace({
      ...change,
      suspicion: isProven ? Suspicion.Proven : change.suspicion,
      deaths,
      targets: [...existing.targets, ...added].slice(-MAX_DEATHS),
    });
  }

  #addDeath(
    fingerprint: string,
    death: { target?: string; at?: number; isAlone: boolean },
  ): SuspicionChange {
    const entry = this.#entries.get(fingerprint) ?? NEW_ENTRY;
    const deaths = entry.deaths + 1;
    const isProven = (death.isAlone && deaths > 1) || deaths >= MAX_DEATHS;
    const { target, at } = death;
    const hasTrials = isProven && at !== undefined;
    this.#store(fingerprint, {
      suspicion: isProven ? Suspicion.Proven : Suspicion.Suspect,
      deaths,
      targets: target === undefined
        ? entry.targets
        : [...entry.targets, target].slice(-MAX_DEATHS),
      trialAt: hasTrials ? at + FIRST_TRIAL_MS : undefined,
      trials: 0,
    });
    return this.changeOf(fingerprint);
  }

  #store(fingerprint: string, entry: Entry): void {
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, entry);
    if (this.#entries.size <= MAX_ENTRIES) return;
    const oldest = this.#entries.keys().next().value;
    if (oldest !== undefined) this.#entries.delete(oldest);
  }
}

/** Gets the time between a trial run and the next one. */
function trialIntervalMs(trials: number): number {
  return Math.min(
    MAX_TRIAL_INTERVAL_MS,
    FIRST_TRIAL_MS * TRIAL_GROWTH ** trials,
  );
}

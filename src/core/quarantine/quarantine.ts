/** Detection of requests that crash the targets that run them. */

/** Levels of suspicion against a fingerprint. */
export const Suspicion = {
  /** No crash of a target is attributed to it. */
  Clear: "clear",
  /** A target died while running it; too little evidence to refuse it. */
  Suspect: "suspect",
  /** Enough targets died while running it: requests are refused. */
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
  /** Number of targets that died while running it. */
  readonly deaths: number;
}

interface Entry {
  suspicion: Suspicion;
  deaths: number;
}

/** Deaths after which a request is refused even if it never ran alone. */
const MAX_DEATHS = 3;
/** Maximum number of fingerprints; the oldest entry is evicted. */
const MAX_ENTRIES = 10_000;

/**
 * Tracks the suspicion against fingerprints.
 *
 * A fingerprint is proven by a death while it ran alone, if a target has died
 * running it before, or by {@link MAX_DEATHS} deaths, alone or not.
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
   * Records that a target died.
   * @param fingerprints - Fingerprints of all requests that it was running.
   */
  onTargetDied(fingerprints: readonly string[]): SuspicionChange[] {
    const distinct = [...new Set(fingerprints)];
    const isAlone = fingerprints.length === 1;
    return distinct.map((fingerprint) =>
      this.#recordDeath(fingerprint, isAlone)
    );
  }

  /** Records a completed request, which clears an unproven suspicion. */
  onFinished(fingerprint: string): SuspicionChange | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || entry.suspicion === Suspicion.Proven) {
      return undefined;
    }
    this.#entries.delete(fingerprint);
    return { fingerprint, suspicion: Suspicion.Clear, deaths: 0 };
  }

  /** Merges a change from another instance; a proven suspicion is final. */
  merge(change: SuspicionChange): this {
    const existing = this.#entries.get(change.fingerprint);
    if (existing?.suspicion === Suspicion.Proven) return this;
    if (change.suspicion === Suspicion.Clear) {
      this.#entries.delete(change.fingerprint);
      return this;
    }
    const deaths = Math.max(existing?.deaths ?? 0, change.deaths);
    this.#store(change.fingerprint, {
      suspicion: deaths >= MAX_DEATHS ? Suspicion.Proven : change.suspicion,
      deaths,
    });
    return this;
  }

  #recordDeath(fingerprint: string, isAlone: boolean): SuspicionChange {
    const deaths = (this.#entries.get(fingerprint)?.deaths ?? 0) + 1;
    const isProven = (isAlone && deaths > 1) || deaths >= MAX_DEATHS;
    const suspicion = isProven ? Suspicion.Proven : Suspicion.Suspect;
    this.#store(fingerprint, { suspicion, deaths });
    return { fingerprint, suspicion, deaths };
  }

  #store(fingerprint: string, entry: Entry): void {
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, entry);
    if (this.#entries.size <= MAX_ENTRIES) return;
    const oldest = this.#entries.keys().next().value;
    if (oldest !== undefined) this.#entries.delete(oldest);
  }
}

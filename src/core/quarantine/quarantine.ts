/** Finds requests that crash the targets that run them. */

/** What is known of a fingerprint. */
export const Suspicion = {
  /** No death of a target is tied to it. */
  Clear: "clear",
  /** A target died while running it beside others. */
  Suspect: "suspect",
  /** A target died while running it alone: refused. */
  Proven: "proven",
} as const;

/** One of the values of {@link Suspicion}. */
export type Suspicion = typeof Suspicion[keyof typeof Suspicion];

/** A change of what is known, to be shared inside the data centre. */
export interface SuspicionChange {
  /** Route and canonical body, hashed. */
  readonly fingerprint: string;
  /** What is now known. */
  readonly suspicion: Suspicion;
  /** Targets that died while running it. */
  readonly deaths: number;
}

interface Entry {
  suspicion: Suspicion;
  deaths: number;
}

/** Deaths after which a request is refused even without proof. */
const MAX_DEATHS = 3;
/** Fingerprints remembered. */
const MAX_ENTRIES = 10_000;

/**
 * Keeps the suspicion on each fingerprint.
 *
 * @example
 * ```ts
 * const quarantine = new Quarantine();
 * quarantine.onTargetDied(["f1", "f2"]);
 * quarantine.suspicionOf("f1"); // "suspect"
 * quarantine.onFinished("f2"); // "clear" again
 * ```
 */
export class Quarantine {
  readonly #entries = new Map<string, Entry>();

  /** Gets what is known of a fingerprint. */
  suspicionOf(fingerprint: string): Suspicion {
    return this.#entries.get(fingerprint)?.suspicion ?? Suspicion.Clear;
  }

  /**
   * Records that a target died while running requests.
   * @param fingerprints - Fingerprints of all that it was running.
   */
  onTargetDied(fingerprints: readonly string[]): SuspicionChange[] {
    const distinct = [...new Set(fingerprints)];
    const isAlone = fingerprints.length === 1;
    return distinct.map((fingerprint) =>
      this.#recordDeath(fingerprint, isAlone)
    );
  }

  /** Records that a request finished, which clears an unproven suspicion. */
  onFinished(fingerprint: string): SuspicionChange | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || entry.suspicion === Suspicion.Proven) {
      return undefined;
    }
    this.#entries.delete(fingerprint);
    return { fingerprint, suspicion: Suspicion.Clear, deaths: 0 };
  }

  /** Takes in a change found by another instance; proof is never undone. */
  merge(change: SuspicionChange): this {
    const known = this.#entries.get(change.fingerprint);
    if (known?.suspicion === Suspicion.Proven) return this;
    if (change.suspicion === Suspicion.Clear) {
      this.#entries.delete(change.fingerprint);
      return this;
    }
    const deaths = Math.max(known?.deaths ?? 0, change.deaths);
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

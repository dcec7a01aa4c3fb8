/** How fast and how reliably the targets run items. */

interface Seen {
  paceMs: number;
  samples: number;
  seenAt: number;
  avoidedUntil: number;
  failures: number;
}

const UNSEEN_PACE_MS = 60;
const NEWEST_WEIGHT = 0.2;
/** Events after which a target's pace is known. */
const KNOWN_SAMPLES = 5;
/** Time after which a pace that was not seen again is forgotten. */
const STALE_MS = 3_000;
/** Ratio to the median pace from which a target counts as slow. */
const SLOW_RATIO = 2;
const FIRST_PAUSE_MS = 200;
const MAX_PAUSE_MS = 2_000;

/** Keeps the pace of targets, and who is avoided for a while. */
export class TargetPace {
  readonly #seen = new Map<string, Seen>();
  /** Median at a time; decisions ask for it once for each item and target. */
  #median: { readonly at: number; readonly paceMs: number } | undefined;

  /** Records the time between two events of a run. */
  onGap(target: string, gapMs: number, now: number): this {
    const seen = this.#of(target);
    this.#median = undefined;
    if (now - seen.seenAt > STALE_MS) seen.samples = 0;
    seen.seenAt = now;
    const weight = Math.max(NEWEST_WEIGHT, 1 / (seen.samples + 1));
    seen.paceMs += weight * (gapMs - seen.paceMs);
    seen.samples += 1;
    return this;
  }

  /** Records a whole run. */
  onWhole(target: string): this {
    this.#of(target).failures = 0;
    return this;
  }

  /** Records a failure; the target is avoided, longer each time. */
  onFailure(target: string, now: number): this {
    const seen = this.#of(target);
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(seen.failures, 6);
    seen.failures += 1;
    return this.avoid(target, now + Math.min(MAX_PAUSE_MS, pauseMs));
  }

  /** Avoids a target until a time. */
  avoid(target: string, until: number): this {
    const seen = this.#of(target);
    seen.avoidedUntil = Math.max(seen.avoidedUntil, until);
    return this;
  }

  /** Gets whether a target is avoided. */
  isAvoided(target: string, now: number): boolean {
    return now < (this.#seen.get(target)?.avoidedUntil ?? -Infinity);
  }

  /** Gets the mean time between two events, in milliseconds. */
  paceMs(target: string, now: number): number {
    const seen = this.#seen.get(target);
    const isKnown = seen !== undefined && isCurrent(seen, now);
    return isKnown ? seen.paceMs : this.medianMs(now);
  }

  /** Gets whether a target is much slower than most. */
  isSlow(target: string, now: number): boolean {
    return this.paceMs(target, now) > SLOW_RATIO * this.medianMs(now);
  }

  /** Gets the median pace of the targets that have one. */
  medianMs(now: number): number {
    if (this.#median?.at !== now) {
      this.#median = { at: now, paceMs: this.#findMedian(now) };
    }
    return this.#median.paceMs;
  }

  #findMedian(now: number): number {
    const paces = [...this.#seen.values()]
      .filter((seen) => isCurrent(seen, now))
      .map((seen) => seen.paceMs)
      .sort((a, b) => a - b);
    return paces[Math.floor(paces.length / 2)] ?? UNSEEN_PACE_MS;
  }

  /** Forgets all targets but these. */
  keepOnly(targets: ReadonlySet<string>): this {
    this.#median = undefined;
    for (const id of this.#seen.keys()) {
      if (!targets.has(id)) this.#seen.delete(id);
    }
    return this;
  }

  #of(target: string): Seen {
    let seen = this.#seen.get(target);
    if (seen !== undefined) return seen;
    seen = {
      paceMs: UNSEEN_PACE_MS,
      samples: 0,
      seenAt: -Infinity,
      avoidedUntil: -Infinity,
      failures: 0,
    };
    this.#seen.set(target, seen);
    return seen;
  }
}

function isCurrent(seen: Seen, now: number): boolean {
  return seen.samples >= KNOWN_SAMPLES && now - seen.seenAt < STALE_MS;
}

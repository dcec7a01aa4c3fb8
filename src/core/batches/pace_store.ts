/** Stores the paces and estimates that leaders have measured. */
import {
  type EstimateRecord,
  isBetterEstimate,
  type KnownPaces,
  MAX_PACE_AGE_MS,
  type TargetPaceRecord,
} from "./known_paces.ts";

/** Time by two clocks, as the one may stop and the other may be set. */
export interface PaceClock {
  /** Local monotonic time, in milliseconds. */
  readonly now: number;
  /** Time, in milliseconds since the Unix epoch. */
  readonly wallNow: number;
}

/** What a leader sends to the other ledger instances. */
export interface PaceMessage extends KnownPaces {
  /** Term in which the sender leads. */
  readonly term: number;
}

/** What an instance stores. */
export interface StoredPaces extends KnownPaces {
  /** Time of the write, in milliseconds since the Unix epoch. */
  readonly savedAt: number;
}

/** A record and when it was measured, by both clocks. */
interface Kept<T> {
  readonly record: T;
  readonly at: number;
  readonly wallAt: number;
  readonly revision: number;
}

/**
 * Time after which a record is replaced though it has hardly changed, or it would
 * reach {@link MAX_PACE_AGE_MS} while it is still measured.
 */
const REFRESH_MS = 60_000;
/** Ratio from which a change is noticeable. */
const NOTICEABLE_RATIO = 1.05;
/**
 * Number of completed runs up to which a change of it is noticeable: estimates
 * are used from a number of runs on, so early ones matter.
 */
const MAX_NOTICED_RUNS = 50;

/**
 * Stores the newest long-run pace of each target and the estimates of each
 * service. A revision counts their noticeable changes.
 *
 * @example
 * ```ts
 * memory.update({ term: 3, targets: pace.save(now), services: [] }, clock);
 * memory.changesSince(0, clock).targets;
 * ```
 */
export class PaceStore {
  readonly #targets = new Map<string, Kept<TargetPaceRecord>>();
  readonly #services = new Map<string, Kept<EstimateRecord>>();
  #revision = 0;
  #term = 0;
  #termAt = -Infinity;

  /** Gets the number of the last noticeable change. */
  get revision(): number {
    return this.#revision;
  }

  /** Stores what the local replica has measured while it leads in a term. */
  update(message: PaceMessage, clock: PaceClock): this {
    this.#prune(clock);
    if (!this.#acceptTerm(message.term, clock)) return this;
    for (const record of message.targets) {
      // Events that always arrive together give no pace.
      if (!(record.paceMs > 0)) continue;
      const kept = this.#targets.get(record.id);
      const isChanged = isChangedPace(record, kept?.record);
      if (!isDue(record, kept, clock) && !isChanged) continue;
      this.#keep(this.#targets, record.id, record, clock);
    }
    for (const record of message.services) {
      if (!ratiosOf(record).every(Number.isFinite)) continue;
      const kept = this.#services.get(record.service);
      if (!isBetterEstimate(record, kept?.record)) continue;
      const isChanged = isChangedEstimate(record, kept?.record);
      if (!isDue(record, kept, clock) && !isChanged) continue;
      this.#keep(this.#services, record.service, record, clock);
    }
    return this;
  }

  /**
   * Stores the records of another instance's message that are newer.
   * @returns Whether it was accepted; that of an earlier term is not.
   */
  merge(message: PaceMessage, clock: PaceClock): boolean {
    if (!this.#acceptTerm(message.term, clock)) return false;
    this.#mergeNewer(message, clock);
    return true;
  }

  /** Stores the records of a file that are newer, by wall time alone. */
  load(stored: StoredPaces, clock: PaceClock): this {
    const sinceMs = clock.wallNow - stored.savedAt;
    // If a clock was set back by more, the age cannot be determined.
    if (sinceMs < -MAX_PACE_AGE_MS) return this;
    const aged = <T extends { readonly ageMs: number }>(record: T) => ({
      ...record,
      ageMs: record.ageMs + Math.max(0, sinceMs),
    });
    this.#mergeNewer({
      targets: stored.targets.map(aged),
      services: stored.services.map(aged),
    }, clock);
    return this;
  }

  /** Gets what is to be stored. */
  save(clock: PaceClock): StoredPaces {
    return { ...this.changesSince(0, clock), savedAt: clock.wallNow };
  }

  /** Gets what has changed noticeably since a revision and is not too old. */
  changesSince(revision: number, clock: PaceClock): KnownPaces {
    const read = <T>(all: ReadonlyMap<string, Kept<T>>) =>
      [...all.values()]
        .filter((kept) => kept.revision > revision)
        .map((kept) => ({ ...kept.record, ageMs: ageOf(kept, clock) }))
        .filter(({ ageMs }) => ageMs <= MAX_PACE_AGE_MS);
    return { targets: read(this.#targets), services: read(this.#services) };
  }

  /**
   * Accepts the latest term. A newly formed log begins with low terms, so a
   * term expires with the records that it brought.
   */
  #acceptTerm(term: number, { now }: PaceClock): boolean {
    if (term < this.#term && now - this.#termAt <= MAX_PACE_AGE_MS) {
      return false;
    }
    this.#term = term;
    this.#termAt = now;
    return true;
  }

  #mergeNewer({ targets, services }: KnownPaces, clock: PaceClock): void {
    this.#prune(clock);
    for (const record of targets) {
      if (!isNewer(record, this.#targets.get(record.id), clock)) continue;
      this.#keep(this.#targets, record.id, record, clock);
    }
    for (const record of services) {
      if (!isNewer(record, this.#services.get(record.service), clock)) continue;
      this.#keep(this.#services, record.service, record, clock);
    }
  }

  #keep<T extends { readonly ageMs: number }>(
    all: Map<string, Kept<T>>,
    key: string,
    record: T,
    { now, wallNow }: PaceClock,
  ): void {
    const { ageMs } = record;
    if (ageMs > MAX_PACE_AGE_MS) return;
    this.#revision += 1;
    all.set(key, {
      record,
      at: now - ageMs,
      wallAt: wallNow - ageMs,
      revision: this.#revision,
    });
  }

  #prune(clock: PaceClock): void {
    pruneOld(this.#targets, clock);
    pruneOld(this.#services, clock);
  }
}

function pruneOld<T>(all: Map<string, Kept<T>>, clock: PaceClock): void {
  for (const [key, kept] of all) {
    if (ageOf(kept, clock) > MAX_PACE_AGE_MS) all.delete(key);
  }
}

/** Gets the age of a record by the clock that has advanced further. */
function ageOf<T>({ at, wallAt }: Kept<T>, { now, wallNow }: PaceClock) {
  return Math.max(now - at, wallNow - wallAt);
}

/** Gets whether a record was measured long after the kept one. */
function isDue<T>(
  { ageMs }: { readonly ageMs: number },
  kept: Kept<T> | undefined,
  clock: PaceClock,
): boolean {
  return kept === undefined || ageOf(kept, clock) - ageMs > REFRESH_MS;
}

function isNewer<T>(
  { ageMs }: { readonly ageMs: number },
  kept: Kept<T> | undefined,
  clock: PaceClock,
): boolean {
  return kept === undefined || ageMs < ageOf(kept, clock);
}

function isChangedPace(
  record: TargetPaceRecord,
  kept: TargetPaceRecord | undefined,
): boolean {
  return record.incarnation !== kept?.incarnation ||
    isNoticeable(record.paceMs, kept.paceMs);
}

function isChangedEstimate(
  record: EstimateRecord,
  kept: EstimateRecord | undefined,
): boolean {
  if (kept === undefined) return true;
  const before = ratiosOf(kept);
  return ratiosOf(record).some((ratio, i) => isNoticeable(ratio, before[i]));
}

/** Gets the figures of an estimate. */
function ratiosOf(record: EstimateRecord): number[] {
  const { completed, runs, events, estimatedEvents, estimatedTokens } = record;
  const { uncached, cached } = record.prompts;
  return [
    Math.min(completed, MAX_NOTICED_RUNS),
    events / Math.max(1, runs),
    estimatedEvents / Math.max(1, estimatedTokens),
    uncached.events,
    cached.events,
  ];
}

function isNoticeable(one: number, other: number): boolean {
  const [low, high] = one < other ? [one, other] : [other, one];
  return high > low * NOTICEABLE_RATIO;
}

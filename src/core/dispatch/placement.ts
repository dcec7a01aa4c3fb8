/** Selects the target that runs a request. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import { type Quarantine, Suspicion } from "../quarantine/mod.ts";
import {
  type Picker,
  type Target,
  TargetPhase,
  type TargetTable,
} from "../routing/mod.ts";
import { Verdict } from "../verdict/mod.ts";
import { FingerprintLimiter } from "./fingerprint_limiter.ts";
import type { ActiveRequest } from "./active_request.ts";
import { type WorkItem, WorkKind } from "./work_item.ts";

/** Options of {@link Placement}. */
export interface PlacementOptions {
  /** Targets known to this instance. */
  readonly targets: TargetTable;
  /** Fingerprints suspected or proven to crash targets. */
  readonly quarantine: Quarantine;
  /** Policy that picks among targets with free capacity. */
  readonly picker: Picker;
  /**
   * Gets whether a target's zone is lasting; targets in spot zones get only
   * idempotent requests. All zones are lasting by default.
   */
  readonly isLasting?: (target: Target) => boolean;
  /** Whether a request waits for a faster target if it then ends sooner. */
  readonly waitsForFaster?: boolean;
}

/**
 * Ratio of the duration on the offered target to that on a faster one, wait
 * included, above which a request waits.
 */
const WAIT_THRESHOLD_FACTOR = 1.2;
/** Maximum number of targets reserved at once for suspected requests. */
const MAX_RESERVATIONS = 1;

/**
 * Determines which targets may run a request, and reserves targets for
 * suspected requests, which run alone so that a crash proves the cause.
 */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #limiter = new FingerprintLimiter();
  readonly #reservations = new Map<string, string>();

  /** Creates a placement without reservations. */
  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** Gets whether any target is reserved for a suspected request. */
  get hasReservations(): boolean {
    return this.#reservations.size > 0;
  }

  /** Gets the targets that may run a request now. */
  candidates(request: ActiveRequest, available: readonly Target[]): Target[] {
    const { item } = request;
    if (!this.#isSuspect(item)) {
      return available.filter((target) => this.#mayRun(request, target));
    }
    if (this.#limiter.isRunning(item.fingerprint)) return [];
    return this.#idleTargetsFor(request, available);
  }

  /** Gets the best of the targets that may run a request now. */
  pick(
    request: ActiveRequest,
    available: readonly Target[],
    now: number,
  ): Target | undefined {
    const { tokens, prefixTokens, prefix, preferredVersion } = request.item;
    return this.#options.picker.pick({
      candidates: this.candidates(request, available),
      tokens,
      prefixTokens,
      prefix,
      preferredVersion,
      now,
    });
  }

  /**
   * Gets whether a request should stay queued rather than start on a target,
   * because a faster target is expected to be free soon enough.
   * @param options.waitMs - Expected wait; undefined if not known.
   */
  shouldWaitForFaster(
    request: ActiveRequest,
    target: Target,
    options: { waitMs: number | undefined; now: number },
  ): boolean {
    const { waitMs, now } = options;
    const { targets, waitsForFaster } = this.#options;
    if (waitsForFaster === false || waitMs === undefined) return false;
    const { pool, tokens } = request.item;
    let bestMs = Infinity;
    for (const other of targets.inPool(pool)) {
      if (!other.isUsable(now) || !this.#mayRun(request, other)) continue;
      bestMs = Math.min(bestMs, other.expectedMs(tokens, now));
    }
    const hereMs = target.expectedMs(tokens, now);
    return hereMs > (bestMs + waitMs) * WAIT_THRESHOLD_FACTOR;
  }

  /** Records that an attempt starts on a target. */
  onStart(request: ActiveRequest, target: Target, now: number): this {
    const { item } = request;
    assertMayStart(request, target);
    this.unreserve(item.id);
    request.targetId = target.id;
    request.attempts += 1;
    request.startedAt = now;
    const isCall = item.kind === WorkKind.Call;
    target.onStart(item.id, isCall ? item.fingerprint : undefined, now);
    if (this.#isSuspect(item)) this.#reserve(item, target);
    this.#limiter.onStart(item.fingerprint, target.id);
    this.#options.picker.onPlaced(item.prefix, target.id);
    return this;
  }

  /** Records that an attempt has ended, and releases its reservation. */
  onEnd(
    request: ActiveRequest,
    options: { isCompleted: boolean; now: number },
  ): this {
    const { item, targetId } = request;
    if (targetId === undefined) return this;
    this.#options.targets.get(targetId)?.onEnd(item.id, options.now);
    this.#limiter.onEnd(item.fingerprint, targetId, options.isCompleted);
    request.targetId = undefined;
    return this.unreserve(item.id);
  }

  /** Records that a fingerprint is under suspicion. */
  onSuspect(fingerprint: string): this {
    this.#limiter.onSuspect(fingerprint);
    return this;
  }

  /** Reserves the least loaded target for the first waiting suspect. */
  reserveForSuspect(waiting: Iterable<ActiveRequest>, now: number): this {
    if (this.#reservations.size >= MAX_RESERVATIONS) return this;
    for (const request of waiting) {
      if (!this.#isSuspect(request.item)) continue;
      const target = this.#leastLoaded(request, now);
      if (target !== undefined) return this.#reserve(request.item, target);
    }
    return this;
  }

  /** Releases the reservation of a request, if it has one. */
  unreserve(itemId: string): this {
    const targetId = this.#reservations.get(itemId);
    if (targetId === undefined) return this;
    this.#reservations.delete(itemId);
    this.#options.targets.get(targetId)?.unreserve();
    return this;
  }

  /** Gets whether a call may crash targets; samples never do by themselves. */
  #isSuspect({ kind, fingerprint }: WorkItem): boolean {
    return kind !== WorkKind.Sample &&
      this.#options.quarantine.suspicionOf(fingerprint) !== Suspicion.Clear;
  }

  #reserve(item: WorkItem, target: Target): this {
    this.#reservations.set(item.id, target.id);
    target.reserve(item.id);
    return this;
  }

  #leastLoaded(request: ActiveRequest, now: number): Target | undefined {
    return [...this.#options.targets.inPool(request.item.pool)]
      .filter((t) => t.isUsable(now) && this.#mayRun(request, t))
      .sort((a, b) => a.inFlight - b.inFlight)[0];
  }

  #idleTargetsFor(
    request: ActiveRequest,
    available: readonly Target[],
  ): Target[] {
    const reservedId = this.#reservations.get(request.item.id) ?? "";
    const reserved = this.#options.targets.get(reservedId);
    const all = reserved === undefined ? available : [...available, reserved];
    return all.filter((target) =>
      target.inFlight === 0 && target.othersRunning === 0 &&
      this.#mayRun(request, target)
    );
  }

  #mayRun(request: ActiveRequest, target: Target): boolean {
    const { item } = request;
    if (request.failedTargets.has(target.id)) {
      return this.#hasFailedEverywhere(request);
    }
    if (item.avoid?.includes(target.id)) return false;
    if (!this.#limiter.mayRunOn(item.fingerprint, target.id)) return false;
    const isLasting = this.#options.isLasting?.(target) ?? true;
    if (!item.idempotent && !isLasting) return false;
    if (item.minVersion === undefined) return true;
    return (target.weightVersion ?? -Infinity) >= item.minVersion;
  }

  #hasFailedEverywhere(request: ActiveRequest): boolean {
    for (const target of this.#options.targets.inPool(request.item.pool)) {
      if (target.phase !== TargetPhase.Serving) continue;
      if (!request.failedTargets.has(target.id)) return false;
    }
    return true;
  }
}

function assertMayStart(request: ActiveRequest, target: Target): void {
  const { item } = request;
  assertInvariant(
    request.targetId === undefined,
    Invariant.NonIdempotentAtMostOnce,
    `Item ${item.id} is already running`,
  );
  assertInvariant(
    request.verdict === Verdict.NotRun || item.idempotent,
    Invariant.NonIdempotentAtMostOnce,
    `Item ${item.id} may have run and is not idempotent`,
  );
  assertInvariant(
    target.phase !== TargetPhase.Leaving &&
      target.phase !== TargetPhase.Removed,
    Invariant.LeavingTargetIdle,
    `Target ${target.id} is ${target.phase}`,
  );
}

/** Decides on which target a request runs. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import { type Quarantine, Suspicion } from "../quarantine/mod.ts";
import {
  type Picker,
  type Target,
  TargetPhase,
  type TargetTable,
} from "../routing/mod.ts";
import { Verdict } from "../verdict/mod.ts";
import { FingerprintSpread } from "./fingerprint_spread.ts";
import type { Flight } from "./flight.ts";
import type { WorkItem } from "./work_item.ts";

/** Options of {@link Placement}. */
export interface PlacementOptions {
  /** Targets. */
  readonly targets: TargetTable;
  /** Requests known to crash targets. */
  readonly quarantine: Quarantine;
  /** Policy that picks among targets with room. */
  readonly picker: Picker;
  /** Gets whether a target's zone lasts; others take repeatable work only. */
  readonly isLasting?: (target: Target) => boolean;
  /** Whether work waits for a faster target where that ends sooner. */
  readonly waitsForFaster?: boolean;
}

/** How much later a slow target must end before work waits for a fast one. */
const WAITING_FACTOR = 1.2;
/** Suspects that may hold a target reserved at once. */
const MAX_RESERVATIONS = 1;

/** Keeps which targets may take which work, and which are kept free. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #spread = new FingerprintSpread();
  readonly #reservations = new Map<string, string>();

  /** Creates a placement without reservations. */
  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** Gets whether a target is kept free for a suspect. */
  get hasReservations(): boolean {
    return this.#reservations.size > 0;
  }

  /** Gets the targets that may take a request now. */
  candidates(flight: Flight, withRoom: readonly Target[]): Target[] {
    const { item } = flight;
    if (!this.#isSuspect(item)) {
      return withRoom.filter((target) => this.#mayRun(flight, target));
    }
    if (this.#spread.isRunning(item.fingerprint)) return [];
    return this.#idleTargets(flight, withRoom);
  }

  /** Gets the best of the targets that may take a request now. */
  pick(
    flight: Flight,
    withRoom: readonly Target[],
    now: number,
  ): Target | undefined {
    const { tokens, prefixTokens, prefix, preferredVersion } = flight.item;
    return this.#options.picker.pick({
      candidates: this.candidates(flight, withRoom),
      tokens,
      prefixTokens,
      prefix,
      preferredVersion,
      now,
    });
  }

  /**
   * Gets whether a slow target is left alone, because a faster one will be
   * free in time.
   */
  isWorthWaiting(
    flight: Flight,
    target: Target,
    options: { waitMs: number | undefined; now: number },
  ): boolean {
    const { waitMs, now } = options;
    const { targets, waitsForFaster } = this.#options;
    if (waitsForFaster === false || waitMs === undefined) return false;
    const { pool, tokens } = flight.item;
    let bestMs = Infinity;
    for (const other of targets.inPool(pool)) {
      if (!other.isUsable(now) || !this.#mayRun(flight, other)) continue;
      bestMs = Math.min(bestMs, other.expectedMs(tokens, now));
    }
    const hereMs = target.expectedMs(tokens, now);
    return hereMs > (bestMs + waitMs) * WAITING_FACTOR;
  }

  /** Records that a request starts on a target. */
  onStart(flight: Flight, target: Target, now: number): this {
    const { item } = flight;
    assertMayStart(flight, target);
    this.unreserve(item.id);
    flight.targetId = target.id;
    flight.attempts += 1;
    flight.startedAt = now;
    target.onStart(item.id, item.fingerprint, now);
    if (this.#isSuspect(item)) this.#reserve(item, target);
    this.#spread.onStart(item.fingerprint, target.id);
    this.#options.picker.onPlaced(item.prefix, target.id);
    return this;
  }

  /** Records that a request has left its target. */
  onLeft(flight: Flight, options: { isWhole: boolean; now: number }): this {
    const { item, targetId } = flight;
    if (targetId === undefined) return this;
    this.#options.targets.get(targetId)?.onEnd(item.id, options.now);
    this.#spread.onEnd(item.fingerprint, targetId, options.isWhole);
    flight.targetId = undefined;
    return this.unreserve(item.id);
  }

  /** Records that a fingerprint is under suspicion. */
  onSuspect(fingerprint: string): this {
    this.#spread.onSuspect(fingerprint);
    return this;
  }

  /** Keeps a target free for the first suspect that waits. */
  reserveForSuspect(waiting: Iterable<Flight>, now: number): this {
    if (this.#reservations.size >= MAX_RESERVATIONS) return this;
    for (const flight of waiting) {
      if (!this.#isSuspect(flight.item)) continue;
      const target = this.#leastLoaded(flight, now);
      if (target !== undefined) return this.#reserve(flight.item, target);
    }
    return this;
  }

  /** Ends the reservation of a request. */
  unreserve(itemId: string): this {
    const targetId = this.#reservations.get(itemId);
    if (targetId === undefined) return this;
    this.#reservations.delete(itemId);
    this.#options.targets.get(targetId)?.unreserve();
    return this;
  }

  #isSuspect(item: WorkItem): boolean {
    const suspicion = this.#options.quarantine.suspicionOf(item.fingerprint);
    return suspicion !== Suspicion.Clear;
  }

  #reserve(item: WorkItem, target: Target): this {
    this.#reservations.set(item.id, target.id);
    target.reserve(item.id);
    return this;
  }

  #leastLoaded(flight: Flight, now: number): Target | undefined {
    return [...this.#options.targets.inPool(flight.item.pool)]
      .filter((t) => t.isUsable(now) && this.#mayRun(flight, t))
      .sort((a, b) => a.inFlight - b.inFlight)[0];
  }

  #idleTargets(flight: Flight, withRoom: readonly Target[]): Target[] {
    const reservedId = this.#reservations.get(flight.item.id) ?? "";
    const reserved = this.#options.targets.get(reservedId);
    const all = reserved === undefined ? withRoom : [...withRoom, reserved];
    return all.filter((target) =>
      target.inFlight === 0 && target.othersRunning === 0 &&
      this.#mayRun(flight, target)
    );
  }

  #mayRun(flight: Flight, target: Target): boolean {
    const { item } = flight;
    if (flight.failedTargets.has(target.id)) {
      return this.#hasFailedEverywhere(flight);
    }
    if (item.avoid?.includes(target.id)) return false;
    if (!this.#spread.mayRunOn(item.fingerprint, target.id)) return false;
    const isLasting = this.#options.isLasting?.(target) ?? true;
    if (!item.idempotent && !isLasting) return false;
    if (item.minVersion === undefined) return true;
    return (target.weightVersion ?? -Infinity) >= item.minVersion;
  }

  #hasFailedEverywhere(flight: Flight): boolean {
    for (const target of this.#options.targets.inPool(flight.item.pool)) {
      if (target.phase !== TargetPhase.Serving) continue;
      if (!flight.failedTargets.has(target.id)) return false;
    }
    return true;
  }
}

function assertMayStart(flight: Flight, target: Target): void {
  const { item } = flight;
  assertInvariant(
    flight.targetId === undefined,
    Invariant.NonIdempotentAtMostOnce,
    `Item ${item.id} is running already`,
  );
  assertInvariant(
    flight.verdict === Verdict.NotRun || item.idempotent,
    Invariant.NonIdempotentAtMostOnce,
    `Item ${item.id} may have run`,
  );
  assertInvariant(
    target.phase !== TargetPhase.Leaving && target.phase !== TargetPhase.Gone,
    Invariant.LeavingTargetIdle,
    `Target ${target.id} is ${target.phase}`,
  );
}

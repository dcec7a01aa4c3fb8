/** Tracks the targets of each service, with their long-run paces. */
import { sumOf } from "../statistics/mod.ts";
import type { ServiceCapacity } from "./batch_admission.ts";
import { loadFactorOf } from "./target_pace.ts";

/** A target and its long-run pace. */
export interface CapacityTarget {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Long-run time per event of a run alone at the target, in milliseconds. */
  readonly paceMs: number;
  /** Whether the pace is measured, not that of other targets or a default. */
  readonly isPaceKnown: boolean;
}

/** Targets that a service may have at most, by its policy. */
export interface CapacityLimits {
  /** Maximum number of targets, over all data centres allowed to a batch. */
  readonly maxTargets: number;
  /** Time from ordering a target until it serves, in milliseconds. */
  readonly bootMs: number;
}

/** Input of {@link ServiceTargets.capacityOf}. */
export interface CapacityInput {
  readonly tokensPerEvent: number;
  /** Gets whether a batch may run in a data centre. */
  readonly isAllowed: (dataCentre: string) => boolean;
  /** Undefined if no targets of the service are ordered. */
  readonly limits: CapacityLimits | undefined;
  readonly now: number;
}

interface SeenTarget extends CapacityTarget {
  readonly seenAt: number;
}

/**
 * Time for which a lost target counts as present while others are left, in
 * milliseconds: targets behind a broken link or in a restart return.
 */
const LOST_MS = 60_000;
/** As {@link LOST_MS}, if none is left. */
const ALL_LOST_MS = 10_000;

/**
 * Tracks targets, as lost ones count as present for a while.
 *
 * @example
 * ```ts
 * const capacity = targets.onSeen(seen, now).capacityOf("engines", input);
 * ```
 */
export class ServiceTargets {
  readonly #seen = new Map<string, SeenTarget>();

  /** Records the targets that are present. */
  onSeen(targets: readonly CapacityTarget[], now: number): this {
    for (const target of targets) {
      this.#seen.set(target.id, { ...target, seenAt: now });
    }
    for (const [id, { seenAt }] of this.#seen) {
      if (now - seenAt > LOST_MS) this.#seen.delete(id);
    }
    return this;
  }

  /**
   * Gets the capacity of a service with full slots; undefined if no target with
   * a measured pace was seen. A default pace may be several times too slow.
   */
  capacityOf(
    service: string,
    input: CapacityInput,
  ): ServiceCapacity | undefined {
    const { isAllowed, limits, now, tokensPerEvent } = input;
    const all = [...this.#seen.values()]
      .filter((target) => target.service === service && target.slots > 0);
    if (!all.some(({ isPaceKnown }) => isPaceKnown)) return undefined;
    const lastSeenAt = Math.max(...all.map(({ seenAt }) => seenAt));
    const areAllLost = now - lastSeenAt > ALL_LOST_MS;
    const allowed = all.filter(({ dataCentre }) => isAllowed(dataCentre));
    const present = areAllLost ? [] : allowed;
    // A target that starts is assumed to be as fast as the fastest one known.
    const fastest = Math.max(0, ...all.map((target) => eventsPerMsOf(target)));
    const startable = Math.max(0, (limits?.maxTargets ?? 0) - present.length);
    return {
      slots: sumOf(present, ({ slots }) => slots),
      tokensPerMs: tokensPerEvent * sumOf(present, eventsPerMsOf),
      startableTokensPerMs: tokensPerEvent * startable * fastest,
      bootMs: limits?.bootMs ?? 0,
    };
  }
}

/**
 * Gets the events per millisecond of a target with full slots.
 *
 * @example
 * ```ts
 * eventsPerMsOf({ ...target, slots: 12, paceMs: 10 }); // 1
 * ```
 */
export function eventsPerMsOf({ slots, paceMs }: CapacityTarget): number {
  return slots / (paceMs * loadFactorOf(1));
}

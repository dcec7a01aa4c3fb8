/** The time that requests have at an instance that drains. */
import { limitToDrain } from "../../core/calls/mod.ts";
import type { RoutePolicy } from "../../core/policy/mod.ts";
import { Verdict } from "../../core/verdict/mod.ts";
import { createShutdownRefusal } from "./shutdown_refusal.ts";

/**
 * Bounds requests by what is left of the drain, so that each is answered before
 * the instance ends.
 */
export class DrainClock {
  #endsAt = Infinity;

  /** Begins the drain. */
  start(timeoutMs: number): this {
    this.#endsAt = performance.now() + timeoutMs;
    return this;
  }

  /** Gets the time until the drain ends, in milliseconds; Infinity before it. */
  get leftMs(): number {
    return this.#endsAt - performance.now();
  }

  /**
   * Gets the time that a request may take.
   * @param timeMs - Time that it has left.
   * @throws RefusalError if it is not expected to end before the drain does.
   */
  limit(route: RoutePolicy, timeMs: number): number {
    const limit = limitToDrain({ route, timeMs, leftMs: this.leftMs });
    if (limit === undefined) throw createShutdownRefusal(Verdict.NotRun);
    return limit;
  }

  /**
   * Gets the time for a request to other instances.
   * @param timeMs - Time that it takes at most.
   * @throws RefusalError if less than a necessary time is left.
   */
  bound(timeMs: number, necessaryMs: number): number {
    const { leftMs } = this;
    if (leftMs < necessaryMs) throw createShutdownRefusal(Verdict.NotRun);
    return Math.min(timeMs, leftMs);
  }
}

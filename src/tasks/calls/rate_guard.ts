/** The interface by which requests keep to the rates that targets name. */
import type { TargetReport } from "../../core/registry/mod.ts";

/** Permit to send one request to a target. */
export interface HeldPermit {
  readonly target: TargetReport;
  /** Time until it may be sent, in milliseconds. */
  readonly afterMs: number;
  /** Gets whether it may still be used; a request may come to it late. */
  readonly isValid?: () => boolean;
}

/** Reply to a request for a permit. */
export interface PermitAnswer {
  /** The permit; undefined if none is due in time. */
  readonly permit: HeldPermit | undefined;
  /** Time until the next permit, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Grants requests to targets that limit the rate of all instances. */
export interface RateGuard {
  /**
   * Gets whether a target limits the requests of all instances, by its own word
   * or while it is cold.
   */
  isLimited(target: TargetReport): boolean;
  /**
   * Records that a target's process seems to have ended; another one may have
   * started under its identifier, which is not known yet to be cold.
   */
  onLost?(target: TargetReport): void;
  /**
   * Takes a permit for one request to the first of some limited targets.
   * @param maxWaitMs - Longest time that the request can wait.
   * @param hasOther - Whether a target without a limit can run the request.
   */
  acquire(
    targets: readonly TargetReport[],
    maxWaitMs: number,
    hasOther: boolean,
  ): Promise<PermitAnswer>;
}

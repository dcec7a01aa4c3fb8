/** Safety invariants of the system, asserted by the core before it acts. */
import { NutmegreelError } from "../errors/mod.ts";

/** Names of the invariants. */
export const Invariant = {
  /** A delivered sample names the weight versions that generated it. */
  SampleVersioned: "sampleVersioned",
  SampleFresh: "sampleFresh",
  /** Each slot of a step is delivered at most once. */
  SampleOnce: "sampleOnce",
  WorkspaceOwnsRequest: "workspaceOwnsRequest",
  OneInCharge: "oneInCharge",
  /** A usage window is sealed once, with one set of usage totals. */
  WindowReportedOnce: "windowReportedOnce",
  AnswerBelongsToRequest: "answerBelongsToRequest",
  NotRunIsTrue: "notRunIsTrue",
  /** A non-idempotent request is executed at most once. */
  NonIdempotentAtMostOnce: "nonIdempotentAtMostOnce",
  /** No work is placed on a target that is leaving or has left. */
  LeavingTargetIdle: "leavingTargetIdle",
  /** An instance never returns to an older configuration. */
  ConfigurationForward: "configurationForward",
  /** Committed entries are never removed or replaced. */
  CommittedStays: "committedStays",
  /** A term has at most one leader. */
  OneLeaderPerTerm: "oneLeaderPerTerm",
  /** Within an epoch, the primary of a view is a member of the previous one. */
  OnePrimaryPerView: "onePrimaryPerView",
} as const;

/** One of the values of {@link Invariant}. */
export type Invariant = typeof Invariant[keyof typeof Invariant];

/** Thrown when an action would violate an invariant. */
export class InvariantError extends NutmegreelError {
  /** Violated invariant. */
  readonly invariant: Invariant;

  /**
   * Creates the error.
   *
   * @param invariant - Invariant that the action would violate.
   * @param detail - Observed state.
   */
  constructor(invariant: Invariant, detail: string) {
    super("invariant", `Invariant ${invariant} would be violated: ${detail}`);
    this.invariant = invariant;
  }
}

/**
 * Throws an {@link InvariantError} if a condition does not hold.
 *
 * @example
 * ```ts
 * assertInvariant(number > last, Invariant.SampleOnce, `Number ${number}`);
 * ```
 */
export function assertInvariant(
  holds: boolean,
  invariant: Invariant,
  detail = "",
): asserts holds {
  if (!holds) throw new InvariantError(invariant, detail);
}

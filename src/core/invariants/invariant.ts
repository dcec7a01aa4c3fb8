/** Safety invariants of the system, asserted by the core before it acts. */
import { NutmegreelError } from "../errors/mod.ts";

/** Names of the invariants. */
export const Invariant = {
  SampleVersioned: "sampleVersioned",
  SampleFresh: "sampleFresh",
  SampleOnce: "sampleOnce",
  WorkspaceOwnsRequest: "workspaceOwnsRequest",
  OneInCharge: "oneInCharge",
  WindowReportedOnce: "windowReportedOnce",
  AnswerBelongsToRequest: "answerBelongsToRequest",
  NotRunIsTrue: "notRunIsTrue",
  NonIdempotentAtMostOnce: "nonIdempotentAtMostOnce",
  LeavingTargetIdle: "leavingTargetIdle",
  ConfigurationForward: "configurationForward",
  CommittedStays: "committedStays",
  OneLeaderPerTerm: "oneLeaderPerTerm",
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

/** The promises of the system, asserted where the core acts. */
import { NutmegreelError } from "../errors/mod.ts";

/** Numbered promises that the core asserts. */
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

/** Represents an action that would have broken a promise. */
export class InvariantError extends NutmegreelError {
  /** The promise. */
  readonly invariant: Invariant;

  /**
   * Creates the error.
   * @param invariant - Promise that the action would have broken.
   * @param detail - What was seen.
   */
  constructor(invariant: Invariant, detail: string) {
    super("invariant", `Invariant ${invariant} would break: ${detail}`);
    this.invariant = invariant;
  }
}

/**
 * Throws an {@link InvariantError} where a promise would be broken.
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

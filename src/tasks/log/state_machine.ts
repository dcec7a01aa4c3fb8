/** The application of a replicated log. */

/** State that entries of a log change; equal logs give equal states. */
export interface StateMachine<C, S, A> {
  /** Applies a command and gets its answer. */
  apply(command: C): A;
  /** Gets the whole state for a snapshot. */
  save(): S;
  /** Replaces the state by that of a snapshot. */
  load(snapshot: S): this;
}

/** The state machine of a replicated log. */

/** State changed by the entries of a log. It must be deterministic. */
export interface StateMachine<C, S, A> {
  /** Applies a command and returns its result. */
  apply(command: C): A;
  /** Size in the unit of the commands, in bytes; absent if it is not known. */
  readonly bytes?: number;
  /** Part of the size that can be moved to files, in bytes; absent if none. */
  readonly movableBytes?: number;
  /** Creates a snapshot of the state. */
  save(): S;
  /** Forgets what a snapshot of this state has in files. */
  adoptMoved?(snapshot: S): this;
  /** Replaces the state with a snapshot. */
  load(snapshot: S): this;
  /** Whether data is missing that the state refers to; absent if it never is. */
  readonly isPartial?: boolean;
  /**
   * Gets a snapshot with the data that this state has in place of references.
   * @param pending - Commands that will be applied after those of this state.
   */
  attach?(snapshot: S, pending: readonly C[]): S;
}

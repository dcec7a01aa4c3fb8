/** References that stand in a state for data of other replicas. */

/** State of a replica after an entry. */
export interface AppliedState<S> {
  /** Index of the last applied entry. */
  readonly index: number;
  readonly state: S;
}

/**
 * Replaces data that never changes by references. A replica that was sent
 * references holds all that the log decides, and votes; it fetches the data from
 * any replica that has it.
 *
 * @typeParam C - Command of the log.
 * @typeParam S - State as a snapshot holds it.
 */
export interface StateReferences<C, S> {
  /** Gets whether this replica lacks data, in memory or in its stored snapshot. */
  isPartial(): boolean;
  /** Gets the state after the last entry that this replica has applied. */
  getApplied(): AppliedState<S>;
  /** Gets a state with references in place of data. */
  detach(state: S): S;
  /**
   * Gets a received state with the data that this replica has in place of
   * references.
   * @param pending - Commands of the log that this replica has not applied.
   */
  attach(state: S, pending: readonly C[]): S;
}

/** Parts in which a snapshot is sent. */

/** Divides the state of a snapshot into parts of limited size. */
export interface SnapshotDivider<S> {
  /** Divides a state; the order of the parts counts. */
  split(state: S): readonly unknown[];
  /** Makes a state of all its parts, in order. */
  join(parts: readonly unknown[]): S;
  /** Gets the form in which a received part is held until all have arrived. */
  hold?(part: unknown): unknown;
}

/** Gets the divider of a state that is sent as one part. */
export function getUndivided<S>(): SnapshotDivider<S> {
  return {
    split: (state) => [state],
    join: ([state]) => state as S,
  };
}

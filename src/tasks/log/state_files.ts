/** Files beside a log that hold parts of its state. */

/**
 * Files for parts of a state that do not change, so that neither memory nor
 * snapshots hold them. A snapshot names what is in the files.
 *
 * @typeParam S - State as a snapshot holds it.
 */
export interface StateFiles<S> {
  /** Writes to the files what they can hold; gets the state that names it. */
  moveState(state: S): Promise<S>;
  /**
   * Writes to the files what they can hold of a part of another replica's
   * snapshot; gets the part that names it.
   * @param isFirst - Whether no part of the snapshot was moved before. They come
   *     in any order.
   */
  movePart(part: unknown, isFirst: boolean): Promise<unknown>;
  /** Gets a part of a snapshot with all that it names, as others receive it. */
  readPart(part: unknown): Promise<unknown>;
  /** Waits until all that was written before outlives a power loss. */
  sync(): Promise<void>;
  /** Removes files that the stored snapshot, which is in force, does not name. */
  onStored(state: S): Promise<void>;
  close(): Promise<void>;
}

/**
 * Opens the files in the folder of a log.
 * @param state - Last stored snapshot of the state.
 * @throws DamagedFileError if a file that it names is not whole.
 */
export type StateFilesOpener<S> = (
  folder: string,
  state: S,
) => Promise<StateFiles<S>>;

/** Time up to which an instance has the state of the control instances. */

/** Time after a reconnect until an instance has received all state. */
const SYNC_MS = 2_000;

/**
 * Tracks the links of an instance to control instances. While there is none,
 * and for some time afterwards, the known state of targets is that at the loss.
 *
 * @example
 * ```ts
 * contact.update(hasLink, now).knownAt(now);
 * ```
 */
export class ControlContact {
  #linkedSince: number | undefined;
  #knownAt = -Infinity;

  /** Records whether there is a link to any control instance. */
  update(isLinked: boolean, now: number): this {
    this.#knownAt = this.knownAt(now);
    this.#linkedSince = isLinked ? this.#linkedSince ?? now : undefined;
    return this;
  }

  /** Gets the time up to which this instance's state is current. */
  knownAt(now: number): number {
    const isSynced = this.#linkedSince !== undefined &&
      now - this.#linkedSince >= SYNC_MS;
    return isSynced ? now : this.#knownAt;
  }
}

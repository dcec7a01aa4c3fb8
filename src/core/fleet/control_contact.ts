/** Times at which an instance knew what the control instances know. */

/** Time after which an instance that has a link again has been sent all. */
const SYNC_MS = 2_000;

/**
 * Tracks the links of an instance to control instances. While there is none, and
 * for some time afterwards, what is known of targets dates from the loss.
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

  /** Gets the time of which this instance's knowledge is. */
  knownAt(now: number): number {
    const isSynced = this.#linkedSince !== undefined &&
      now - this.#linkedSince >= SYNC_MS;
    return isSynced ? now : this.#knownAt;
  }
}

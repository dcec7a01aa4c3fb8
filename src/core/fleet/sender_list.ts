/** Instances that send requests to targets, as known to one instance. */

interface ReportedSenders {
  readonly ids: readonly string[];
  readonly at: number;
}

/**
 * Time after which the list of a silent control instance is dropped, if another
 * one reports. The roster is sent more often.
 */
const EXPIRY_MS = 30_000;

/**
 * Merges the lists of the control instances, each of which has links to some of
 * the senders. An instance without updates keeps its last list: its number of
 * senders must not shrink while it is cut off.
 *
 * @example
 * ```ts
 * const senders = new SenderList().update("control-1", ["a", "b"], now).all;
 * ```
 */
export class SenderList {
  readonly #reported = new Map<string, ReportedSenders>();
  #all: readonly string[] = [];

  /** Replaces the list of a control instance. */
  update(control: string, ids: readonly string[], now: number): this {
    this.#reported.set(control, { ids, at: now });
    for (const [other, { at }] of this.#reported) {
      if (now - at > EXPIRY_MS) this.#reported.delete(other);
    }
    const known = [...this.#reported.values()].flatMap((list) => list.ids);
    this.#all = [...new Set(known)].sort();
    return this;
  }

  /** Gets the identifiers of all senders, in order; the same until an update. */
  get all(): readonly string[] {
    return this.#all;
  }
}

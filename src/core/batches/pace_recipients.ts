/** Which changes the other ledger instances have received. */

/** A process of a ledger instance. */
export interface PaceRecipient {
  readonly id: string;
  /** A new value at each start. */
  readonly incarnation: string;
}

interface RecipientState {
  readonly incarnation: string;
  /** Last revision that was acknowledged. */
  acknowledged: number;
  failures: number;
  retryAt: number;
}

/** Pause after the first failure; it doubles with each further one. */
const FIRST_RETRY_MS = 2_000;
/** Longest pause; a build that does not know the message refuses each one. */
const MAX_RETRY_MS = 60_000;

/**
 * Tracks up to which revision each instance has acknowledged changes, so that
 * the next message repeats the changes of a lost one.
 *
 * @example
 * ```ts
 * recipients.sinceOf({ id: "b", incarnation: "1" }, 7, now); // 0: all
 * recipients.onAcknowledged("b", 7).sinceOf(b, 7, now); // undefined: nothing
 * ```
 */
export class PaceRecipients {
  readonly #states = new Map<string, RecipientState>();

  /** Clears all state, as for a new leader. */
  clear(): this {
    this.#states.clear();
    return this;
  }

  /**
   * Gets the revision after which an instance needs changes.
   * @returns Undefined if it needs none, or none may be sent to it yet.
   */
  sinceOf(
    { id, incarnation }: PaceRecipient,
    revision: number,
    now: number,
  ): number | undefined {
    let state = this.#states.get(id);
    if (state?.incarnation !== incarnation) {
      state = { incarnation, acknowledged: 0, failures: 0, retryAt: now };
      this.#states.set(id, state);
    }
    if (state.acknowledged >= revision || now < state.retryAt) return undefined;
    return state.acknowledged;
  }

  /** Records that an instance has all changes up to a revision. */
  onAcknowledged(id: string, revision: number): this {
    const state = this.#states.get(id);
    if (state === undefined) return this;
    state.acknowledged = Math.max(state.acknowledged, revision);
    state.failures = 0;
    return this;
  }

  /** Records that a message was lost or refused. */
  onFailed(id: string, now: number): this {
    const state = this.#states.get(id);
    if (state === undefined) return this;
    const pauseMs = FIRST_RETRY_MS * 2 ** state.failures;
    state.failures += 1;
    state.retryAt = now + Math.min(MAX_RETRY_MS, pauseMs);
    return this;
  }

  /** Removes instances that are no longer linked. */
  keepOnly(ids: ReadonlySet<string>): this {
    for (const id of this.#states.keys()) {
      if (!ids.has(id)) this.#states.delete(id);
    }
    return this;
  }
}

/** Time at which a replica without contact to a leader starts an election. */
import type { ConsensusTiming } from "./consensus_options.ts";

/** Options of {@link ElectionTimer}. */
export interface ElectionTimerOptions {
  readonly times: ConsensusTiming;
  /** Random number generator with the range [0, 1). */
  readonly random: () => number;
  /** Start time, in milliseconds of the local clock. */
  readonly now: number;
}

/**
 * Maximum jitter of the first election timeout after a start, as a fraction of
 * the minimum timeout.
 *
 * It is smaller than that of later elections, because voters that started at
 * the same time reject vote requests until the minimum timeout has passed.
 */
const FIRST_ELECTION_JITTER = 0.5;

/**
 * Tracks the contact with the leader and the election timeout.
 *
 * @example
 * ```ts
 * timer.onContact(now, 0).hasContact(now); // true
 * ```
 */
export class ElectionTimer {
  readonly #options: ElectionTimerOptions;
  #contactAt: number;
  /** Time that the leader asked to be added to the election timeout. */
  #delayMs = 0;
  #dueAt: number;

  /** Creates a timer that starts now, as after a contact. */
  constructor(options: ElectionTimerOptions) {
    const { times, random, now } = options;
    this.#options = options;
    this.#contactAt = now;
    const jitterFactor = 1 + FIRST_ELECTION_JITTER * random();
    this.#dueAt = now + times.electionMs * jitterFactor;
  }

  /** Gets the time at which an election is due. */
  get dueAt(): number {
    return this.#dueAt;
  }

  /** Gets whether the leader was in contact within the election timeout. */
  hasContact(now: number): boolean {
    const { electionMs } = this.#options.times;
    return now - this.#contactAt < electionMs + this.#delayMs;
  }

  /**
   * Records a contact from the leader and restarts the timeout.
   * @param delayMs - Time that the leader asks to be added to the timeout.
   */
  onContact(now: number, delayMs: number): this {
    const { maxElectionDelayMs = 0 } = this.#options.times;
    this.#contactAt = now;
    this.#delayMs = Math.min(delayMs, maxElectionDelayMs);
    return this.restart(now);
  }

  /** Records that the timeout has passed, and restarts it without a delay. */
  onTimeout(now: number): this {
    this.#delayMs = 0;
    return this.restart(now);
  }

  /** Restarts the timeout. */
  restart(now: number): this {
    const { times, random } = this.#options;
    const jitterFactor = 1 + random();
    this.#dueAt = now + this.#delayMs + times.electionMs * jitterFactor;
    return this;
  }
}

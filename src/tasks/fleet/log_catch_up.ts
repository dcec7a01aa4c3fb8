/** Start of a replica: the time until it knows what was acknowledged before. */
import { delay } from "../delay.ts";
import { LEADER_WAIT_MS } from "./fleet_timing.ts";

/** Options of {@link LogCatchUp}. */
export interface LogCatchUpOptions {
  /**
   * Gets the position up to which the leader has applied the log; undefined if
   * it does not tell.
   * @throws RefusalError if no leader is confirmed in time.
   */
  readonly readPosition: () => Promise<number | undefined>;
  /** Gets the last entry that this replica has applied. */
  readonly applied: () => number;
  /** Gets whether a leader is known. */
  readonly hasLeader: () => boolean;
  /** Called once this replica has caught up. */
  readonly onDone: () => void;
}

const RETRY_DELAY_MS = 100;
const CHECK_INTERVAL_MS = 10;

/**
 * Waits after a start until this replica has applied all that any replica had
 * acknowledged before. Where no leader is known, it waits for some time only: a
 * minority must not keep its targets from callers.
 *
 * @example
 * ```ts
 * new LogCatchUp({ readPosition, applied, onDone }).start();
 * ```
 */
export class LogCatchUp {
  readonly #options: LogCatchUpOptions;
  #isDone = false;
  #isStopped = false;

  constructor(options: LogCatchUpOptions) {
    this.#options = options;
  }

  /** Gets whether this replica has caught up since its start. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Begins to ask for the leader's position, until there is an answer. */
  start(): this {
    void this.#run();
    return this;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    const { applied, onDone } = this.#options;
    const position = await this.#findPosition();
    while (!this.#isStopped && applied() < position) {
      await delay(CHECK_INTERVAL_MS);
    }
    if (this.#isStopped) return;
    this.#isDone = true;
    onDone();
  }

  async #findPosition(): Promise<number> {
    const startedAt = performance.now();
    while (!this.#isStopped) {
      try {
        return await this.#options.readPosition() ?? 0;
      } catch {
        const waitedMs = performance.now() - startedAt;
        const isLost = waitedMs > LEADER_WAIT_MS && !this.#options.hasLeader();
        if (isLost) break;
        await delay(RETRY_DELAY_MS);
      }
    }
    return 0;
  }
}

/** A periodic task whose rounds never overlap. */

/** Options of {@link PeriodicTask}. */
export interface PeriodicTaskOptions {
  /** Time between the starts of two rounds, in milliseconds. */
  readonly intervalMs: number;
  readonly work: () => Promise<void>;
  /** Called when a round has failed. */
  readonly onError: (err: unknown) => void;
}

/** Runs work at an interval; skips a round while the last one still runs. */
export class PeriodicTask {
  readonly #options: PeriodicTaskOptions;
  #isRunning = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeriodicTaskOptions) {
    this.#options = options;
  }

  start(): void {
    const { intervalMs } = this.#options;
    this.#timer ??= setInterval(() => this.#runRound(), intervalMs);
  }

  /** Stops the timer; a round in progress is not aborted. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #runRound(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#options.work()
      .catch((err) => this.#options.onError(err))
      .finally(() => {
        this.#isRunning = false;
      });
  }
}

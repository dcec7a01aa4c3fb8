/** Work that is done again and again, never twice at a time. */

/** Options of {@link DutyLoop}. */
export interface DutyLoopOptions {
  /** Time between two rounds, in milliseconds. */
  readonly intervalMs: number;
  readonly work: () => Promise<void>;
  /** Hears that a round has failed. */
  readonly onError: (err: unknown) => void;
}

/** Owns the timer of a duty. */
export class DutyLoop {
  readonly #options: DutyLoopOptions;
  #isBusy = false;
  #timer: NodeJS.Timeout | undefined;

  /** Creates a loop that does not run yet. */
  constructor(options: DutyLoopOptions) {
    this.#options = options;
  }

  /** Begins the rounds. */
  start(): void {
    const { intervalMs } = this.#options;
    this.#timer ??= setInterval(() => this.#round(), intervalMs);
  }

  /** Ends the rounds; one that has begun runs its course. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #round(): void {
    if (this.#isBusy) return;
    this.#isBusy = true;
    this.#options.work()
      .catch((err) => this.#options.onError(err))
      .finally(() => {
        this.#isBusy = false;
      });
  }
}

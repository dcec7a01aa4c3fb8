/** Signals that the process receives. */
import type { EventEmitter } from "node:events";

const STOP_SIGNALS: readonly NodeJS.Signals[] = ["SIGTERM", "SIGINT"];
const RELOAD_SIGNAL: NodeJS.Signals = "SIGHUP";
/** Signals that ask for nothing; by default they end the process. */
const IGNORED_SIGNALS: readonly NodeJS.Signals[] = ["SIGUSR2"];

/**
 * Receives the signals of a process from its first moment on.
 *
 * @example
 * ```ts
 * const signals = new ProcessSignals().onReload(() => reload());
 * const signal = await signals.stopped;
 * ```
 * @remarks Node.js ignores SIGPIPE; SIGQUIT keeps its default action, by which
 * operators get a core dump.
 */
export class ProcessSignals {
  /**
   * Resolves with the name of the first signal that asks the process to stop;
   * further ones change nothing.
   */
  readonly stopped: Promise<string>;
  #stopSignal: string | undefined;
  #reload: (() => void) | undefined;
  #isReloadPending = false;

  /**
   * Creates the handlers of the signals.
   * @param source - Emitter of the signals; the process by default.
   */
  constructor(source: EventEmitter = process) {
    this.stopped = new Promise((resolve) => {
      for (const signal of STOP_SIGNALS) {
        source.on(signal, () => {
          this.#stopSignal ??= signal;
          resolve(signal);
        });
      }
    });
    source.on(RELOAD_SIGNAL, () => this.#onReloadSignal());
    for (const signal of IGNORED_SIGNALS) source.on(signal, () => {});
  }

  /** Gets the first signal that asked the process to stop. */
  get stopSignal(): string | undefined {
    return this.#stopSignal;
  }

  /**
   * Sets what reloads the settings; called at once if a signal came before.
   */
  onReload(listener: () => void): this {
    this.#reload = listener;
    if (!this.#isReloadPending) return this;
    this.#isReloadPending = false;
    listener();
    return this;
  }

  #onReloadSignal(): void {
    if (this.#reload === undefined) this.#isReloadPending = true;
    else this.#reload();
  }
}

/** Sealing of usage windows by the ledger primary of a data centre. */
import type { ControlPort } from "../control/control_port.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";

/** Options of {@link UsageSealingTask}. */
export interface UsageSealingTaskOptions {
  readonly dataCentre: string;
  readonly ledger: LedgerPort;
  readonly control: ControlPort;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Seals each usage window once and copies its figures to the control log. */
export class UsageSealingTask {
  readonly #options: UsageSealingTaskOptions;
  #isRunning = false;

  constructor(options: UsageSealingTaskOptions) {
    this.#options = options;
  }

  /**
   * Seals the open window if it is due and copies sealed windows to the control
   * log. Does nothing on an instance that is not primary, or while a run is in
   * progress.
   */
  async run(): Promise<void> {
    if (this.#isRunning || !this.#options.ledger.isPrimary) return;
    this.#isRunning = true;
    try {
      await this.#sealDueWindow();
      await this.#reportSealedWindows();
    } finally {
      this.#isRunning = false;
    }
  }

  async #sealDueWindow(): Promise<void> {
    const { ledger, control, now } = this.#options;
    const { windowMs, sealDelayMs } =
      control.state.configuration.document.usage;
    const { usage } = ledger.state;
    const current = Math.floor(now() / windowMs) * windowMs;
    const open = usage.openWindow ?? current - windowMs;
    const isDue = now() >= open + windowMs + sealDelayMs;
    if (!isDue) return;
    const next = Math.max(open + windowMs, current);
    await ledger.append({ type: "windowSealed", window: open, next });
  }

  /**
   * Copies sealed windows to the control log. A window is dropped from the
   * ledger only after the control log has committed it.
   */
  async #reportSealedWindows(): Promise<void> {
    const { ledger, control, dataCentre } = this.#options;
    for (const sealed of ledger.state.usage.sealed) {
      const result = sealed.figures.length === 0
        ? { type: "done" }
        : await control.propose({ type: "sealUsage", dataCentre, sealed });
      if (result.type === "rejected") continue;
      const { window } = sealed;
      await ledger.append({ type: "windowReported", window });
    }
  }
}

/** Seals the usage windows of a data centre, at its ledger's primary. */
import type { ControlPort } from "../control/control_port.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";

/** Options of {@link UsageTask}. */
export interface UsageTaskOptions {
  /** Data centre. */
  readonly dataCentre: string;
  /** Ledger. */
  readonly ledger: LedgerPort;
  /** Control log. */
  readonly control: ControlPort;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Seals each window once and hands its figures to the control log. */
export class UsageTask {
  readonly #options: UsageTaskOptions;
  #isBusy = false;

  /** Creates the task. */
  constructor(options: UsageTaskOptions) {
    this.#options = options;
  }

  /** Seals what is due and hands over what is sealed. */
  async run(): Promise<void> {
    if (this.#isBusy || !this.#options.ledger.isPrimary) return;
    this.#isBusy = true;
    try {
      await this.#seal();
      await this.#handOver();
    } finally {
      this.#isBusy = false;
    }
  }

  async #seal(): Promise<void> {
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

  /** The ledger forgets a window only once the control log holds it. */
  async #handOver(): Promise<void> {
    const { ledger, control, dataCentre } = this.#options;
    for (const sealed of ledger.state.usage.sealed) {
      const answer = sealed.figures.length === 0
        ? { type: "done" }
        : await control.propose({ type: "sealUsage", dataCentre, sealed });
      if (answer.type === "rejected") continue;
      const { window } = sealed;
      await ledger.append({ type: "windowReported", window });
    }
  }
}

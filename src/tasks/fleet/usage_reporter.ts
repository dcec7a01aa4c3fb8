/**
 * Seals windows of usage and reports them. The counts of a window never change
 * once it is sealed, so that a repeated report carries the same ones.
 */
import type { UsageTotals } from "../../core/calls/mod.ts";
import type { FleetCommand, FleetState } from "../../core/fleet/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { OrderLease } from "./order_lease.ts";
import { PeriodicTask } from "./periodic_task.ts";
import { OrderOutcome, type ReceiverPort } from "./order_port.ts";

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
  readonly lease: OrderLease;
  readonly receiver: ReceiverPort;
  readonly usage: UsageTotals;
  readonly state: () => FleetState;
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly logger: Logger;
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
  /** Time from the end of a window until its report is due, in milliseconds. */
  readonly dueMs: number;
  /** Gets wall-clock time in milliseconds since 1970. */
  readonly wallClock: () => number;
}

const TICK_MS = 300;
/** Share of the time until a report is due in which late counts may arrive. */
const LATE_COUNTS_SHARE = 0.3;
const MAX_LATE_WINDOWS = 20;

/** Seals and reports usage windows in order while this replica leads. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #task: PeriodicTask;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#task = new PeriodicTask({
      intervalMs: TICK_MS,
      work: () => this.#reportNext(),
      onError: (err) =>
        options.logger.event("usageFailed", { reason: (err as Error).message }),
    });
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  async #reportNext(): Promise<void> {
    if (this.#options.lease.get() === undefined) return;
    const window = this.#nextWindow();
    if (window === undefined) return;
    const { state, usage, propose, logger } = this.#options;
    let counts = state().sealed.get(window);
    if (counts === undefined) {
      await propose({
        type: "sealUsage",
        window,
        counts: usage.sumsOf(window),
      });
      counts = state().sealed.get(window);
      if (counts === undefined) return;
      logger.event("usageSealed", { window, counts: JSON.stringify(counts) });
    }
    await this.#report(window, counts);
  }

  /**
   * Gets the oldest unreported window that is sealed or may be sealed;
   * undefined if there is none. Windows that were never sealed are skipped when
   * they are more than {@link MAX_LATE_WINDOWS} late.
   */
  #nextWindow(): number | undefined {
    const { state, usage, windowMs, dueMs, wallClock } = this.#options;
    const { sealed, reportedWindow } = state();
    const lastSealable =
      Math.floor((wallClock() - dueMs * LATE_COUNTS_SHARE) / windowMs) - 1;
    const unreported = [...sealed.keys()].filter((w) => w > reportedWindow);
    if (unreported.length > 0) return Math.min(...unreported);
    const first = reportedWindow > 0 ? reportedWindow + 1 : usage.firstWindow;
    if (first === undefined) return undefined;
    const next = Math.max(first, lastSealable - MAX_LATE_WINDOWS);
    return next <= lastSealable ? next : undefined;
  }

  async #report(
    window: number,
    counts: Readonly<Record<string, number>>,
  ): Promise<void> {
    const { lease, receiver, propose, logger } = this.#options;
    const grant = lease.get();
    if (grant === undefined) return;
    const outcome = await receiver.reportUsage({ window, counts }, grant);
    const isAccepted = outcome === OrderOutcome.Accepted ||
      outcome === OrderOutcome.Held;
    if (!isAccepted) {
      logger.event("usageFailed", { window, reason: outcome });
      return;
    }
    logger.event("usageReported", { window });
    await propose({ type: "usageReported", window });
  }
}

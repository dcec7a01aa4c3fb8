/** Seals windows of usage and reports each with one figure for ever. */
import type { UsageBook } from "../../core/calls/mod.ts";
import type { FleetCommand, FleetState } from "../../core/fleet/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { DutyLease } from "./duty_lease.ts";
import { DutyLoop } from "./duty_loop.ts";
import { OrderOutcome, type ReceiverPort } from "./order_port.ts";

/** Options of {@link UsageDuty}. */
export interface UsageDutyOptions {
  readonly lease: DutyLease;
  readonly receiver: ReceiverPort;
  readonly book: UsageBook;
  readonly state: () => FleetState;
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly logger: Logger;
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window until its report is due. */
  readonly dueMs: number;
  /** Gets the time of day, in milliseconds since 1970. */
  readonly wall: () => number;
}

const TICK_MS = 300;
/** Part of the time until a report is due that is left to late counts. */
const SEAL_SHARE = 0.3;
const MAX_LATE_WINDOWS = 20;

/** Reports the windows in order. */
export class UsageDuty {
  readonly #options: UsageDutyOptions;
  readonly #loop: DutyLoop;

  /** Creates the duty; it does nothing yet. */
  constructor(options: UsageDutyOptions) {
    this.#options = options;
    this.#loop = new DutyLoop({
      intervalMs: TICK_MS,
      work: () => this.#work(),
      onError: (err) =>
        options.logger.event("usageFailed", { reason: (err as Error).message }),
    });
  }

  /** Begins the duty. */
  start(): void {
    this.#loop.start();
  }

  /** Ends the duty. */
  stop(): void {
    this.#loop.stop();
  }

  async #work(): Promise<void> {
    if (this.#options.lease.get() === undefined) return;
    const window = this.#nextWindow();
    if (window === undefined) return;
    const { state, book, propose, logger } = this.#options;
    let counts = state().sealed.get(window);
    if (counts === undefined) {
      await propose({
        type: "sealUsage",
        window,
        counts: book.sumsOf(window),
      });
      counts = state().sealed.get(window);
      if (counts === undefined) return;
      logger.event("usageSealed", { window, counts: JSON.stringify(counts) });
    }
    await this.#report(window, counts);
  }

  /** Gets the oldest window that has ended, was not reported and is ripe. */
  #nextWindow(): number | undefined {
    const { state, book, windowMs, dueMs, wall } = this.#options;
    const { sealed, reportedWindow } = state();
    const ripe = Math.floor((wall() - dueMs * SEAL_SHARE) / windowMs) - 1;
    const open = [...sealed.keys()].filter((w) => w > reportedWindow);
    if (open.length > 0) return Math.min(...open);
    const first = reportedWindow > 0 ? reportedWindow + 1 : book.firstWindow;
    if (first === undefined) return undefined;
    const next = Math.max(first, ripe - MAX_LATE_WINDOWS);
    return next <= ripe ? next : undefined;
  }

  async #report(
    window: number,
    counts: Readonly<Record<string, number>>,
  ): Promise<void> {
    const { lease, receiver, propose, logger } = this.#options;
    const grant = lease.get();
    if (grant === undefined) return;
    const outcome = await receiver.reportUsage(
      { window, counts },
      grant.token,
      grant.timeoutMs,
    );
    const isDone = outcome === OrderOutcome.Accepted ||
      outcome === OrderOutcome.Held;
    if (!isDone) {
      logger.event("usageFailed", { window, reason: outcome });
      return;
    }
    logger.event("usageReported", { window });
    await propose({ type: "usageReported", window });
  }
}

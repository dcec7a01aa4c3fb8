/** Replacement of ledger views whose members are absent. */
import { nextView } from "../../core/ledger/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { ControlDriver } from "./control_driver.ts";
import type { FeedTask } from "./feed_task.ts";

/** Options of {@link ViewUpdater}. */
export interface ViewUpdaterOptions {
  /** Replica of the control log; undefined on instances without one. */
  readonly driver: ControlDriver | undefined;
  readonly feed: Pick<FeedTask, "presentDataCentres" | "presentProcessesIn">;
  /** Gets the current view of a data centre's ledger. */
  readonly getView: (dataCentre: string) => LedgerView | undefined;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

const INTERVAL_MS = 500;
/**
 * Time for which a new leader does not replace views, so that it can first
 * receive heartbeats from every process.
 */
const GRACE_MS = 3_500;

/** Proposes new views while this instance leads the control log. */
export class ViewUpdater {
  readonly #options: ViewUpdaterOptions;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ViewUpdaterOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#update(), INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #update(): void {
    const { driver, feed, getView, now } = this.#options;
    if (driver === undefined || !driver.isReady) return;
    if (now() - driver.leaderSince < GRACE_MS) return;
    for (const dataCentre of feed.presentDataCentres) {
      const view = nextView({
        dataCentre,
        view: getView(dataCentre),
        present: feed.presentProcessesIn(dataCentre),
      });
      if (view !== undefined) driver.propose({ type: "setLedgerView", view });
    }
  }
}

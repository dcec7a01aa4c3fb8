/**
 * Determines which process may confirm the configuration of the workspaces
 * whose home is a data centre, while that data centre is cut off.
 */
import type { LedgerView } from "../views/mod.ts";
import type { FeedTiming } from "./feed_node.ts";

/** Options of {@link HomeAuthority}. */
export interface HomeAuthorityOptions {
  /** Identifier of this process, as used in ledger views. */
  readonly self: string;
  /** Timing of the leases. */
  readonly times: FeedTiming;
}

/**
 * Derives the authority over a data centre from its ledger view.
 *
 * The primary holds the authority while every backup has recently promised to
 * follow it. A new primary waits until the promises to its predecessor have
 * expired.
 */
export class HomeAuthority {
  readonly #options: HomeAuthorityOptions;
  readonly #promises = new Map<string, number>();
  #view: LedgerView | undefined;
  #validFrom = Infinity;

  /** Creates an instance without authority. */
  constructor(options: HomeAuthorityOptions) {
    this.#options = options;
  }

  /** Gets the current ledger view. */
  get view(): LedgerView | undefined {
    return this.#view;
  }

  /** Gets whether this process is the primary of the current view. */
  get isPrimary(): boolean {
    return this.#view?.primary === this.#options.self;
  }

  /** Installs a ledger view. Ignored if it is not newer. */
  setView(view: LedgerView, now: number): this {
    if (view.number <= (this.#view?.number ?? 0)) return this;
    const wasPrimary = this.isPrimary;
    const isFirst = view.number === 1;
    this.#view = view;
    if (!this.isPrimary) this.#validFrom = Infinity;
    else if (!wasPrimary) {
      const { leaseMs, clockRateError } = this.#options.times;
      const waitMs = isFirst ? 0 : leaseMs * (1 + clockRateError);
      this.#validFrom = now + waitMs;
      this.#promises.clear();
    }
    return this;
  }

  /** Gets whether this process may promise to follow the primary of a view. */
  followsView(view: number): boolean {
    return this.#view?.number === view;
  }

  /**
   * Records a backup's promise to follow the primary of a view, with the time
   * at which it was requested. Ignored if the view is not the current one.
   */
  onPromise(from: string, promise: { view: number; at: number }): this {
    if (promise.view !== this.#view?.number) return this;
    const latest = this.#promises.get(from) ?? -Infinity;
    this.#promises.set(from, Math.max(latest, promise.at));
    return this;
  }

  /**
   * Gets the end of the authority by the local clock, in milliseconds;
   * -Infinity without authority.
   */
  authorityEnd(now: number): number {
    const view = this.#view;
    if (view === undefined || !this.isPrimary) return -Infinity;
    if (now < this.#validFrom) return -Infinity;
    const { leaseMs, clockRateError } = this.#options.times;
    let end = Infinity;
    for (const backup of view.backups) {
      const promisedAt = this.#promises.get(backup) ?? -Infinity;
      end = Math.min(end, promisedAt + leaseMs / (1 + clockRateError));
    }
    return end;
  }
}

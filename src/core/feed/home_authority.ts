/** Who may answer for a data centre's home workspaces when it is cut off. */
import type { LedgerView } from "../views/mod.ts";
import type { FeedTimes } from "./feed_node.ts";

/** Options of {@link HomeAuthority}. */
export interface HomeAuthorityOptions {
  /** This process, as views name it. */
  readonly self: string;
  /** Times. */
  readonly times: FeedTimes;
}

/**
 * Derives the authority over a data centre from the ledger's view.
 *
 * The primary has it while every backup has lately promised to follow it; a
 * new primary waits until promises to the former one have run out.
 */
export class HomeAuthority {
  readonly #options: HomeAuthorityOptions;
  readonly #promises = new Map<string, number>();
  #view: LedgerView | undefined;
  #from = Infinity;

  /** Creates an authority of nobody. */
  constructor(options: HomeAuthorityOptions) {
    this.#options = options;
  }

  /** Gets the current view. */
  get view(): LedgerView | undefined {
    return this.#view;
  }

  /** Gets whether this process is the primary. */
  get isPrimary(): boolean {
    return this.#view?.primary === this.#options.self;
  }

  /** Takes in a view. */
  setView(view: LedgerView, now: number): this {
    if (view.number <= (this.#view?.number ?? 0)) return this;
    const wasPrimary = this.isPrimary;
    const isFirst = view.number === 1;
    this.#view = view;
    if (!this.isPrimary) this.#from = Infinity;
    else if (!wasPrimary) {
      const { leaseMs, clockRateError } = this.#options.times;
      const waitMs = isFirst ? 0 : leaseMs * (1 + clockRateError);
      this.#from = now + waitMs;
      this.#promises.clear();
    }
    return this;
  }

  /** Gets whether this process promises to follow the primary of a view. */
  promises(view: number): boolean {
    return this.#view?.number === view;
  }

  /** Records the promise of a backup. */
  onPromise(from: string, promise: { view: number; at: number }): this {
    if (promise.view !== this.#view?.number) return this;
    const known = this.#promises.get(from) ?? -Infinity;
    this.#promises.set(from, Math.max(known, promise.at));
    return this;
  }

  /** Gets the end of the authority, by the local clock. */
  until(now: number): number {
    const view = this.#view;
    if (view === undefined || !this.isPrimary) return -Infinity;
    if (now < this.#from) return -Infinity;
    const { leaseMs, clockRateError } = this.#options.times;
    let until = Infinity;
    for (const backup of view.backups) {
      const promisedAt = this.#promises.get(backup) ?? -Infinity;
      until = Math.min(until, promisedAt + leaseMs / (1 + clockRateError));
    }
    return until;
  }
}

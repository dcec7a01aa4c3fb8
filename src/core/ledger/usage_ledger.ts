/** Usage by time window. A window is open, then sealed once, then reported. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { UsageEntry } from "./ledger_record.ts";

/** Usage totals of one workspace and route in a window. */
export interface UsageFigures extends UsageEntry {
  /**
   * Start of the window in which the usage arose, if it was recorded after that
   * window was sealed.
   */
  readonly belongsTo?: number;
}

/** A sealed window, whose usage totals no longer change. */
export interface SealedWindow {
  /** Start of the window, in milliseconds since the Unix epoch. */
  readonly window: number;
  /** Usage totals, sorted by workspace and route. */
  readonly figures: readonly UsageFigures[];
}

/** Serializable state of the usage. */
export interface UsageLedgerState {
  readonly openWindow: number | undefined;
  readonly open: readonly UsageFigures[];
  readonly sealed: readonly SealedWindow[];
}

/** Aggregates usage in the open window and seals windows. */
export class UsageLedger {
  readonly #open = new Map<string, UsageFigures>();
  readonly #sealed = new Map<number, SealedWindow>();
  #openWindow: number | undefined;

  /** Gets the start of the open window, or undefined before the first seal. */
  get openWindow(): number | undefined {
    return this.#openWindow;
  }

  /** Gets the sealed windows that have not been reported. */
  get sealed(): readonly SealedWindow[] {
    return [...this.#sealed.values()];
  }

  /** Gets the usage totals of the open window. */
  get open(): readonly UsageFigures[] {
    return sortFigures([...this.#open.values()]);
  }

  /** Adds usage to the open window. */
  add(entries: readonly UsageEntry[]): this {
    for (const entry of entries) {
      const key = `${entry.workspace}/${entry.route}`;
      const total = this.#open.get(key);
      this.#open.set(key, total === undefined ? entry : addUsage(total, entry));
    }
    return this;
  }

  /**
   * Seals the open window and opens the next one.
   *
   * @throws InvariantError if the window is already sealed or windows are out
   * of order.
   */
  seal(window: number, next: number): this {
    assertInvariant(
      !this.#sealed.has(window) &&
        (this.#openWindow === undefined || window >= this.#openWindow) &&
        next > window,
      Invariant.WindowReportedOnce,
      `Cannot seal window ${window}; open window: ${this.#openWindow}`,
    );
    this.#sealed.set(window, { window, figures: this.open });
    this.#open.clear();
    this.#openWindow = next;
    return this;
  }

  /** Removes a sealed window once the control log has recorded it. */
  onReported(window: number): this {
    this.#sealed.delete(window);
    return this;
  }

  save(): UsageLedgerState {
    return {
      openWindow: this.#openWindow,
      open: this.open,
      sealed: this.sealed,
    };
  }

  /** Replaces the state with a saved one. */
  load(state: UsageLedgerState): this {
    this.#open.clear();
    this.#sealed.clear();
    this.#openWindow = state.openWindow;
    this.add(state.open);
    for (const sealed of state.sealed) this.#sealed.set(sealed.window, sealed);
    return this;
  }
}

function addUsage(a: UsageEntry, b: UsageEntry): UsageEntry {
  return {
    workspace: a.workspace,
    route: a.route,
    requests: a.requests + b.requests,
    tokens: a.tokens + b.tokens,
    samples: a.samples + b.samples,
    wastedTokens: a.wastedTokens + b.wastedTokens,
  };
}

function sortFigures(figures: readonly UsageFigures[]): UsageFigures[] {
  const sortKey = (f: UsageFigures) => `${f.workspace}/${f.route}`;
  return [...figures].sort((a, b) => sortKey(a) < sortKey(b) ? -1 : 1);
}

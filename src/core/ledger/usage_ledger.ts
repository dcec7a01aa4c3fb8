/** Usage by window: open, sealed once, reported. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { UsageEntry } from "./ledger_record.ts";

/** Figures of one workspace and route in a window. */
export interface UsageFigures extends UsageEntry {
  /** Window in which the use began, where it came after the seal. */
  readonly belongsTo?: number;
}

/** A sealed window: its figures never change. */
export interface SealedWindow {
  /** Start of the window, in milliseconds since the epoch. */
  readonly window: number;
  /** Figures in order of workspace and route. */
  readonly figures: readonly UsageFigures[];
}

/** Serializable state of the usage. */
export interface UsageLedgerState {
  readonly openWindow: number | undefined;
  readonly open: readonly UsageFigures[];
  readonly sealed: readonly SealedWindow[];
}

/** Adds use up and seals windows. */
export class UsageLedger {
  readonly #open = new Map<string, UsageFigures>();
  readonly #sealed = new Map<number, SealedWindow>();
  #openWindow: number | undefined;

  /** Gets the start of the open window. */
  get openWindow(): number | undefined {
    return this.#openWindow;
  }

  /** Gets the sealed windows that are not reported yet. */
  get sealed(): readonly SealedWindow[] {
    return [...this.#sealed.values()];
  }

  /** Gets the figures of the open window. */
  get open(): readonly UsageFigures[] {
    return sorted([...this.#open.values()]);
  }

  /** Adds use to the open window. */
  add(entries: readonly UsageEntry[]): this {
    for (const entry of entries) {
      const name = `${entry.workspace}/${entry.route}`;
      const known = this.#open.get(name);
      this.#open.set(name, known === undefined ? entry : sum(known, entry));
    }
    return this;
  }

  /** Seals the open window and opens the next. */
  seal(window: number, next: number): this {
    assertInvariant(
      !this.#sealed.has(window) &&
        (this.#openWindow === undefined || window >= this.#openWindow) &&
        next > window,
      Invariant.WindowReportedOnce,
      `Window ${window} after ${this.#openWindow}`,
    );
    this.#sealed.set(window, { window, figures: this.open });
    this.#open.clear();
    this.#openWindow = next;
    return this;
  }

  /** Forgets a window whose figures the control log has taken over. */
  onReported(window: number): this {
    this.#sealed.delete(window);
    return this;
  }

  /** Gets the serializable state. */
  save(): UsageLedgerState {
    return {
      openWindow: this.#openWindow,
      open: this.open,
      sealed: this.sealed,
    };
  }

  /** Replaces the state by a saved one. */
  load(state: UsageLedgerState): this {
    this.#open.clear();
    this.#sealed.clear();
    this.#openWindow = state.openWindow;
    this.add(state.open);
    for (const sealed of state.sealed) this.#sealed.set(sealed.window, sealed);
    return this;
  }
}

function sum(a: UsageEntry, b: UsageEntry): UsageEntry {
  return {
    workspace: a.workspace,
    route: a.route,
    requests: a.requests + b.requests,
    tokens: a.tokens + b.tokens,
    samples: a.samples + b.samples,
    wastedTokens: a.wastedTokens + b.wastedTokens,
  };
}

function sorted(figures: readonly UsageFigures[]): UsageFigures[] {
  const nameOf = (f: UsageFigures) => `${f.workspace}/${f.route}`;
  return [...figures].sort((a, b) => nameOf(a) < nameOf(b) ? -1 : 1);
}

/** Usage windows of all data centres that are sealed, and whether reported. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { SealedWindow } from "../ledger/mod.ts";
import { digestOf } from "./section_digest.ts";

/**
 * A sealed usage window of a data centre, to be reported to the recipient of
 * usage reports.
 */
export interface UsageReport {
  readonly dataCentre: string;
  /** Usage totals of the window. */
  readonly sealed: SealedWindow;
  /** Whether the recipient has confirmed the report. */
  readonly isReported: boolean;
}

/** Number of confirmed usage reports retained for each data centre. */
const MAX_REPORTED_WINDOWS = 1_024;

/** Retains sealed windows, whose figures never change. */
export class SealedWindows {
  readonly #reports = new Map<string, UsageReport>();

  /** Gets a window; undefined if it is not sealed or no longer retained. */
  get(dataCentre: string, window: number): UsageReport | undefined {
    return this.#reports.get(formatWindowKey(dataCentre, window));
  }

  /** Gets all retained windows. */
  list(): readonly UsageReport[] {
    return [...this.#reports.values()];
  }

  /**
   * Seals a window.
   * @returns Whether it was open.
   * @throws InvariantError if it is sealed with other figures.
   */
  seal(dataCentre: string, sealed: SealedWindow): boolean {
    const name = formatWindowKey(dataCentre, sealed.window);
    const existing = this.#reports.get(name);
    if (existing !== undefined) {
      assertInvariant(
        digestOf(existing.sealed) === digestOf(sealed),
        Invariant.WindowReportedOnce,
        `Window ${name} has already been sealed with different figures`,
      );
      return false;
    }
    this.#reports.set(name, { dataCentre, sealed, isReported: false });
    return true;
  }

  /**
   * Records that the report of a window was confirmed.
   * @returns Whether it was not known to be.
   */
  markReported(dataCentre: string, window: number): boolean {
    const existing = this.get(dataCentre, window);
    if (existing === undefined || existing.isReported) return false;
    const name = formatWindowKey(dataCentre, window);
    this.#reports.set(name, { ...existing, isReported: true });
    this.#evictReported(dataCentre);
    return true;
  }

  /** Replaces all windows. */
  load(reports: readonly UsageReport[]): this {
    this.#reports.clear();
    for (const report of reports) {
      const { dataCentre, sealed } = report;
      this.#reports.set(formatWindowKey(dataCentre, sealed.window), report);
    }
    return this;
  }

  #evictReported(dataCentre: string): void {
    const reported = this.list()
      .filter((u) => u.dataCentre === dataCentre && u.isReported)
      .sort((a, b) => a.sealed.window - b.sealed.window);
    const excess = Math.max(0, reported.length - MAX_REPORTED_WINDOWS);
    for (const { sealed } of reported.slice(0, excess)) {
      this.#reports.delete(formatWindowKey(dataCentre, sealed.window));
    }
  }
}

function formatWindowKey(dataCentre: string, window: number): string {
  return `${dataCentre}/${window}`;
}

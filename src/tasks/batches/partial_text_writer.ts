/** Writes the partial texts of long runs to the ledger. */
import type { PartialTextRecord } from "../../core/batches/mod.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link PartialTextWriter}. */
export interface PartialTextWriterOptions {
  readonly runs: RunTable;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Writes the partial texts of runs in progress to the ledger. */
  readonly storePartialTexts: (records: readonly PartialTextRecord[]) => void;
}

/** Interval between writes of the partial texts of long runs. */
const STORE_INTERVAL_MS = 500;
/** Age from which the partial text of a run is stored. */
const LONG_RUN_MS = 500;

/**
 * Stores the partial texts of long runs, so that a new leader can resume them
 * instead of starting over.
 */
export class PartialTextWriter {
  readonly #options: PartialTextWriterOptions;
  /** Time at which partial texts were last written. */
  #storedAt = -Infinity;

  constructor(options: PartialTextWriterOptions) {
    this.#options = options;
  }

  /** Writes what the long runs have received since the last write, if due. */
  storeLongRuns(): void {
    const now = this.#options.now();
    if (now - this.#storedAt < STORE_INTERVAL_MS) return;
    this.#storedAt = now;
    const records: PartialTextRecord[] = [];
    for (const run of this.#options.runs.all) {
      if (now - run.startedAt < LONG_RUN_MS) continue;
      const { id } = run.item;
      const after = run.storedEventId;
      const pieces = run.text.piecesAfter(after);
      if (pieces.length === 0) continue;
      run.storedEventId = run.text.lastId;
      const { versions, software } = run.text;
      const batch = run.record.spec.id;
      records.push({ batch, item: id, after, pieces, versions, software });
    }
    if (records.length > 0) this.#options.storePartialTexts(records);
  }
}

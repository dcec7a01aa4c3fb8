/** Writes the usage that an instance has measured to the ledger. */
import type { Logger } from "../../logging/mod.ts";
import type { PrimaryLedger } from "../ledger/primary_ledger.ts";
import type { UsageMeter } from "./usage_meter.ts";

/** Options of {@link UsageWriter}. */
export interface UsageWriterOptions {
  readonly meter: UsageMeter;
  readonly ledger: Pick<PrimaryLedger, "append">;
  readonly logger: Logger;
}

/** Moves usage from the meter to the ledger. */
export class UsageWriter {
  readonly #options: UsageWriterOptions;

  constructor(options: UsageWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes the usage since the last call. If it is unknown whether a write
   * succeeded, it is not repeated, so that no usage is counted twice.
   */
  async write(): Promise<void> {
    const { meter, ledger, logger } = this.#options;
    const entries = meter.drain();
    if (entries.length === 0) return;
    try {
      await ledger.append({ type: "usage", entries });
    } catch (err) {
      const isNotRun = (err as { verdict?: string }).verdict === "notRun";
      if (isNotRun) meter.restore(entries);
      else logger.event("usageInDoubt", { entries: entries.length });
    }
  }
}

/** How many items run or wait at a time, by service. */
import type { BatchRecord } from "./batch_record.ts";

/** Demand for a service. */
export interface ServiceDemand {
  readonly service: string;
  /** Items that ran or waited at a time, as a mean over the last second. */
  readonly meanItems: number;
}

/** Averages the open items between two readings. */
export class DemandMeter {
  readonly #sums = new Map<string, number>();
  #samples = 0;

  /**
   * Counts the open items now.
   * @returns Their number over all services.
   */
  sample(records: readonly BatchRecord[]): number {
    this.#samples += 1;
    let open = 0;
    for (const { spec, unlisted, isOpen } of records) {
      if (!isOpen) continue;
      open += unlisted.length;
      const sum = this.#sums.get(spec.service) ?? 0;
      this.#sums.set(spec.service, sum + unlisted.length);
    }
    return open;
  }

  /** Takes the means since the last call. */
  take(): ServiceDemand[] {
    const samples = Math.max(1, this.#samples);
    const demand = [...this.#sums]
      .map(([service, sum]) => ({ service, meanItems: sum / samples }));
    this.#sums.clear();
    this.#samples = 0;
    return demand;
  }
}

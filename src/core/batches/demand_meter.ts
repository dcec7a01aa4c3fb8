/** Measures the number of items that run or wait, by service. */
import type { BatchRecord } from "./batch_record.ts";

/** Demand for a service. */
export interface ServiceDemand {
  readonly service: string;
  /** Mean number of items that ran or waited since the last reading. */
  readonly meanItems: number;
  /** Peak number of items that ran or waited, by model. */
  readonly peaks: Readonly<Record<string, number>>;
}

interface ServiceSums {
  items: number;
  readonly peaks: Map<string, number>;
}

/** Records the mean and peak number of open items between two readings. */
export class DemandMeter {
  readonly #sums = new Map<string, ServiceSums>();
  #samples = 0;

  /**
   * Samples the current number of open items.
   * @returns The number of open items of all services.
   */
  sample(records: readonly BatchRecord[]): number {
    this.#samples += 1;
    let total = 0;
    for (const [service, counts] of countOpen(records)) {
      const sums = this.#sumsOf(service);
      for (const [model, count] of counts) {
        sums.items += count;
        total += count;
        sums.peaks.set(model, Math.max(count, sums.peaks.get(model) ?? 0));
      }
    }
    return total;
  }

  /** Gets the means and peaks since the last call and resets them. */
  readAndReset(): ServiceDemand[] {
    const samples = Math.max(1, this.#samples);
    const demand = [...this.#sums].map(([service, { items, peaks }]) => ({
      service,
      meanItems: items / samples,
      peaks: Object.fromEntries(peaks),
    }));
    this.#sums.clear();
    this.#samples = 0;
    return demand;
  }

  #sumsOf(service: string): ServiceSums {
    let sums = this.#sums.get(service);
    if (sums === undefined) {
      sums = { items: 0, peaks: new Map() };
      this.#sums.set(service, sums);
    }
    return sums;
  }
}

/** Counts the open items by service and model. */
function countOpen(
  records: readonly BatchRecord[],
): Map<string, Map<string, number>> {
  const services = new Map<string, Map<string, number>>();
  for (const record of records) {
    if (!record.isOpen) continue;
    const { spec, itemsToRun } = record;
    const counts = services.get(spec.service) ?? new Map<string, number>();
    services.set(spec.service, counts);
    for (const { model } of itemsToRun) {
      counts.set(model, (counts.get(model) ?? 0) + 1);
    }
  }
  return services;
}

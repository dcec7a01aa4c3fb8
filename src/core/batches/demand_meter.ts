/** How many items run or wait at a time, by service. */
import type { BatchRecord } from "./batch_record.ts";

/** Demand for a service. */
export interface ServiceDemand {
  readonly service: string;
  /** Items that ran or waited at a time, as a mean over the last second. */
  readonly meanItems: number;
  /** Most items of each model that ran or waited at a time. */
  readonly peaks: Readonly<Record<string, number>>;
}

interface Sum {
  items: number;
  readonly peaks: Map<string, number>;
}

/** Averages the open items between two readings, and keeps their peaks. */
export class DemandMeter {
  readonly #sums = new Map<string, Sum>();
  #samples = 0;

  /**
   * Counts the open items now.
   * @returns Their number over all services.
   */
  sample(records: readonly BatchRecord[]): number {
    this.#samples += 1;
    let all = 0;
    for (const [service, counts] of countOpen(records)) {
      const sum = this.#sumOf(service);
      for (const [model, count] of counts) {
        sum.items += count;
        all += count;
        sum.peaks.set(model, Math.max(count, sum.peaks.get(model) ?? 0));
      }
    }
    return all;
  }

  /** Takes the means and peaks since the last call. */
  take(): ServiceDemand[] {
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

  #sumOf(service: string): Sum {
    let sum = this.#sums.get(service);
    if (sum === undefined) {
      sum = { items: 0, peaks: new Map() };
      this.#sums.set(service, sum);
    }
    return sum;
  }
}

/** Counts the open items by service and model. */
function countOpen(
  records: readonly BatchRecord[],
): Map<string, Map<string, number>> {
  const services = new Map<string, Map<string, number>>();
  for (const { spec, unlisted, isOpen } of records) {
    if (!isOpen) continue;
    const counts = services.get(spec.service) ?? new Map<string, number>();
    services.set(spec.service, counts);
    for (const { model } of unlisted) {
      counts.set(model, (counts.get(model) ?? 0) + 1);
    }
  }
  return services;
}

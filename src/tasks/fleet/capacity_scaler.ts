/** Orders targets from the demand that the ledger reports. */
import type { ServiceDemand } from "../../core/batches/mod.ts";
import { planSlots } from "../../core/capacity/mod.ts";
import type { PolicyDocument, ServicePolicy } from "../../core/policy/mod.ts";
import { type TargetRegistry, TargetState } from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { OrderLease } from "./order_lease.ts";
import { PeriodicTask } from "./periodic_task.ts";
import { OrderOutcome, type ReceiverPort } from "./order_port.ts";

/** Options of {@link CapacityScaler}. */
export interface CapacityScalerOptions {
  readonly lease: OrderLease;
  readonly receiver: ReceiverPort;
  readonly registry: TargetRegistry;
  readonly logger: Logger;
  readonly policy: () => PolicyDocument | undefined;
  /**
   * Gets monotonic time in milliseconds, which includes time in which the
   * machine was suspended.
   */
  readonly now: () => number;
}

interface Observation extends ServiceDemand {
  readonly at: number;
}

interface SentOrder {
  readonly count: number;
  readonly at: number;
}

const TICK_MS = 500;
/** Window in which the highest mean and the peaks of demand are taken. */
const OBSERVATION_WINDOW_MS = 30_000;
/** Time over which demand is averaged, to smooth the bursts of batches. */
const MEAN_WINDOW_MS = 8_000;
/** Back-off for a data centre after it has not accepted an order. */
const REFUSED_BACKOFF_MS = 3_000;
/** Time beyond a target's boot time after which a missing one is reordered. */
const REORDER_GRACE_MS = 6_000;

/** Scales the number of targets to the demand. */
export class CapacityScaler {
  readonly #options: CapacityScalerOptions;
  readonly #sentOrders = new Map<string, SentOrder>();
  readonly #backoffUntil = new Map<string, number>();
  #observations: Observation[] = [];
  #observedSince = Infinity;
  readonly #task: PeriodicTask;

  constructor(options: CapacityScalerOptions) {
    this.#options = options;
    this.#task = new PeriodicTask({
      intervalMs: TICK_MS,
      work: () => this.#planAll(),
      onError: (err) => options.logger.error(err),
    });
  }

  start(): void {
    this.#task.start();
  }

  /** Stops, and discards all observations, sent orders and back-offs. */
  stop(): void {
    this.#task.stop();
    this.#sentOrders.clear();
    this.#backoffUntil.clear();
    this.#observations = [];
  }

  /** Records a service's demand in the last second. */
  observe(demand: ServiceDemand): void {
    const at = this.#options.now();
    if (this.#observations.length === 0) this.#observedSince = at;
    this.#observations = this.#observations
      .filter((observation) => at - observation.at < OBSERVATION_WINDOW_MS);
    this.#observations.push({ ...demand, at });
  }

  async #planAll(): Promise<void> {
    if (this.#options.lease.get() === undefined) return;
    for (const service of this.#options.policy()?.services ?? []) {
      if (service.scaling !== undefined) await this.#plan(service);
    }
  }

  async #plan(service: ServicePolicy): Promise<void> {
    const { scaling } = service;
    const observations = this.#observations.filter((o) =>
      o.service === service.name
    );
    if (scaling === undefined || observations.length === 0) return;
    const present = this.#countReady(service.name);
    const now = this.#options.now();
    const counts = planSlots({
      meanItems: highestMeanOf(observations),
      peakItems: sumOfPeaks(observations),
      slots: this.#slotsPerTarget(service.name),
      min: scaling.min,
      max: scaling.max,
      zones: Object.entries(scaling.prices).map(([id, price]) => ({
        id,
        price,
        present: present.get(id) ?? 0,
        isExhausted:
          now < (this.#backoffUntil.get(keyOf(service.name, id)) ?? 0),
        isEvacuated: this.#options.registry.isEvacuated(id),
      })),
    });
    for (const [dataCentre, count] of counts) {
      const presentCount = present.get(dataCentre) ?? 0;
      if (
        !this.#isDue(service, { dataCentre, count, presentCount })
      ) continue;
      await this.#order(service.name, dataCentre, count);
    }
  }

  /**
   * Checks whether to order a number of targets now. Targets are removed only
   * after a full window of observations, because a peak may recur within it.
   */
  #isDue(
    service: ServicePolicy,
    zone: { dataCentre: string; count: number; presentCount: number },
  ): boolean {
    const { dataCentre, count, presentCount } = zone;
    const key = keyOf(service.name, dataCentre);
    const lastOrder = this.#sentOrders.get(key);
    const now = this.#options.now();
    if (now < (this.#backoffUntil.get(key) ?? 0)) return false;
    if (count === presentCount) return false;
    if (
      count < presentCount && now - this.#observedSince < OBSERVATION_WINDOW_MS
    ) {
      return false;
    }
    if (lastOrder === undefined || lastOrder.count !== count) return true;
    const bootMs = service.scaling?.bootMs ?? 0;
    return now - lastOrder.at > bootMs + REORDER_GRACE_MS;
  }

  async #order(
    service: string,
    dataCentre: string,
    count: number,
  ): Promise<void> {
    const { lease, receiver, logger, now } = this.#options;
    const grant = lease.get();
    if (grant === undefined) return;
    const key = keyOf(service, dataCentre);
    const outcome = await receiver.orderTargets(
      { service, dataCentre, count, isSpot: false },
      grant,
    );
    const isAccepted = outcome === OrderOutcome.Accepted;
    logger.event(isAccepted ? "capacityOrdered" : "capacityFailed", {
      service,
      dataCentre,
      count,
      outcome,
      fence: grant.token.fence,
    });
    if (isAccepted) this.#sentOrders.set(key, { count, at: now() });
    else this.#backoffUntil.set(key, now() + REFUSED_BACKOFF_MS);
  }

  #countReady(service: string): Map<string, number> {
    const present = new Map<string, number>();
    for (const { report } of this.#options.registry.all) {
      if (report.service !== service || report.isSpot) continue;
      if (report.state !== TargetState.Ready) continue;
      const { dataCentre } = report;
      present.set(dataCentre, (present.get(dataCentre) ?? 0) + 1);
    }
    return present;
  }

  /** Evacuated targets count, as those that replace them are alike. */
  #slotsPerTarget(service: string): number {
    const slots = this.#options.registry.presentReports
      .filter((k) => k.service === service && k.state === TargetState.Ready)
      .map((report) => report.slots);
    return slots.length === 0 ? 1 : Math.min(...slots);
  }
}

/** Gets the highest mean of demand over {@link MEAN_WINDOW_MS}. */
function highestMeanOf(observations: readonly Observation[]): number {
  let highest = 0;
  for (const { at } of observations) {
    const window = observations.filter((o) =>
      o.at <= at && at - o.at < MEAN_WINDOW_MS
    );
    const sum = window.reduce((total, o) => total + o.meanItems, 0);
    const isFullWindow = at - observations[0].at >= MEAN_WINDOW_MS;
    if (isFullWindow) highest = Math.max(highest, sum / window.length);
  }
  return highest;
}

/** Gets the sum of the models' highest numbers of concurrent items. */
function sumOfPeaks(observations: readonly Observation[]): number {
  const peaks = new Map<string, number>();
  for (const observation of observations) {
    for (const [model, count] of Object.entries(observation.peaks)) {
      peaks.set(model, Math.max(count, peaks.get(model) ?? 0));
    }
  }
  return [...peaks.values()].reduce((sum, peak) => sum + peak, 0);
}

function keyOf(service: string, dataCentre: string): string {
  return `${service}/${dataCentre}`;
}

/** Orders targets by the demand that the ledger tells of. */
import type { ServiceDemand } from "../../core/batches/mod.ts";
import { planSlots } from "../../core/capacity/mod.ts";
import type { PolicyDocument, ServicePolicy } from "../../core/policy/mod.ts";
import { type TargetRegistry, TargetState } from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { DutyLease } from "./duty_lease.ts";
import { DutyLoop } from "./duty_loop.ts";
import { OrderOutcome, type ReceiverPort } from "./order_port.ts";

/** Options of {@link CapacityDuty}. */
export interface CapacityDutyOptions {
  readonly lease: DutyLease;
  readonly receiver: ReceiverPort;
  readonly registry: TargetRegistry;
  readonly logger: Logger;
  readonly policy: () => PolicyDocument | undefined;
  /** Gets a clock that counts time in which the machine stood still. */
  readonly now: () => number;
}

interface Observation extends ServiceDemand {
  readonly at: number;
}

interface Placed {
  readonly count: number;
  readonly at: number;
}

const TICK_MS = 500;
/** Time for which the greatest mean and the peaks count. */
const MEMORY_MS = 30_000;
/** Time over which demand is averaged: waves of batches come and go. */
const MEAN_MS = 8_000;
/** Time for which a refused data centre is not asked again. */
const DRY_MS = 3_000;
/** Time beyond a target's start after which a missing one is ordered again. */
const MISSING_MS = 6_000;

/** Keeps as many targets as the demand needs. */
export class CapacityDuty {
  readonly #options: CapacityDutyOptions;
  readonly #placed = new Map<string, Placed>();
  readonly #dryUntil = new Map<string, number>();
  #observations: Observation[] = [];
  #observedSince = Infinity;
  readonly #loop: DutyLoop;

  /** Creates the duty; it does nothing yet. */
  constructor(options: CapacityDutyOptions) {
    this.#options = options;
    this.#loop = new DutyLoop({
      intervalMs: TICK_MS,
      work: () => this.#work(),
      onError: (err) => options.logger.error(err),
    });
  }

  /** Begins the duty. */
  start(): void {
    this.#loop.start();
  }

  /** Ends the duty. */
  stop(): void {
    this.#loop.stop();
    this.#placed.clear();
    this.#dryUntil.clear();
    this.#observations = [];
  }

  /** Records the demand of the last second. */
  observe(demand: ServiceDemand): void {
    const at = this.#options.now();
    if (this.#observations.length === 0) this.#observedSince = at;
    this.#observations = this.#observations
      .filter((seen) => at - seen.at < MEMORY_MS);
    this.#observations.push({ ...demand, at });
  }

  async #work(): Promise<void> {
    if (this.#options.lease.get() === undefined) return;
    for (const service of this.#options.policy()?.services ?? []) {
      if (service.scaling !== undefined) await this.#plan(service);
    }
  }

  async #plan(service: ServicePolicy): Promise<void> {
    const { scaling } = service;
    const seen = this.#observations.filter((o) => o.service === service.name);
    if (scaling === undefined || seen.length === 0) return;
    const present = this.#presentOf(service.name);
    const now = this.#options.now();
    const counts = planSlots({
      meanItems: greatestMean(seen),
      peakItems: sumOfPeaks(seen),
      slots: this.#slotsOf(service.name),
      min: scaling.min,
      max: scaling.max,
      zones: Object.entries(scaling.prices).map(([id, price]) => ({
        id,
        price,
        present: present.get(id) ?? 0,
        isDry: now < (this.#dryUntil.get(keyOf(service.name, id)) ?? 0),
      })),
    });
    for (const [dataCentre, count] of counts) {
      const here = present.get(dataCentre) ?? 0;
      if (!this.#isDue(service, { dataCentre, count, here })) continue;
      await this.#order(service.name, dataCentre, count);
    }
  }

  /** Targets that run are not given up while the peak may come again. */
  #isDue(
    service: ServicePolicy,
    zone: { dataCentre: string; count: number; here: number },
  ): boolean {
    const { dataCentre, count, here } = zone;
    const key = keyOf(service.name, dataCentre);
    const placed = this.#placed.get(key);
    const now = this.#options.now();
    if (now < (this.#dryUntil.get(key) ?? 0)) return false;
    if (count === here) return false;
    if (count < here && now - this.#observedSince < MEMORY_MS) return false;
    if (placed === undefined || placed.count !== count) return true;
    const startMs = service.scaling?.bootMs ?? 0;
    return now - placed.at > startMs + MISSING_MS;
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
      grant.token,
      grant.timeoutMs,
    );
    const isPlaced = outcome === OrderOutcome.Accepted;
    logger.event(isPlaced ? "capacityOrdered" : "capacityFailed", {
      service,
      dataCentre,
      count,
      outcome,
      fence: grant.token.fence,
    });
    if (isPlaced) this.#placed.set(key, { count, at: now() });
    else this.#dryUntil.set(key, now() + DRY_MS);
  }

  #presentOf(service: string): Map<string, number> {
    const present = new Map<string, number>();
    for (const { report } of this.#options.registry.all) {
      if (report.service !== service || report.isSpot) continue;
      if (report.state !== TargetState.Ready) continue;
      const { dataCentre } = report;
      present.set(dataCentre, (present.get(dataCentre) ?? 0) + 1);
    }
    return present;
  }

  #slotsOf(service: string): number {
    const slots = this.#options.registry.readyOf(service)
      .map(({ report }) => report.slots);
    return slots.length === 0 ? 1 : Math.min(...slots);
  }
}

/** Gets the greatest mean over some seconds that ended lately. */
function greatestMean(seen: readonly Observation[]): number {
  let greatest = 0;
  for (const { at } of seen) {
    const window = seen.filter((o) => o.at <= at && at - o.at < MEAN_MS);
    const sum = window.reduce((total, o) => total + o.meanItems, 0);
    const isWhole = at - seen[0].at >= MEAN_MS;
    if (isWhole) greatest = Math.max(greatest, sum / window.length);
  }
  return greatest;
}

/** Gets the sum over the models of the most items at a time. */
function sumOfPeaks(seen: readonly Observation[]): number {
  const peaks = new Map<string, number>();
  for (const observation of seen) {
    for (const [model, count] of Object.entries(observation.peaks)) {
      peaks.set(model, Math.max(count, peaks.get(model) ?? 0));
    }
  }
  return [...peaks.values()].reduce((sum, peak) => sum + peak, 0);
}

function keyOf(service: string, dataCentre: string): string {
  return `${service}/${dataCentre}`;
}

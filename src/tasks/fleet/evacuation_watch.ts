/** The evacuated data centres, as in force on one instance. */
import type { EvacuationUpdate } from "../../core/fleet/mod.ts";
import type { ServicePolicy } from "../../core/policy/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link EvacuationWatch}. */
export interface EvacuationWatchOptions {
  readonly node: Pick<FleetNode, "logger" | "metrics">;
  readonly registry: TargetRegistry;
  /** Gets a service of the policy in force. */
  readonly getService: (name: string) => ServicePolicy | undefined;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Called when other data centres than before are evacuated. */
  readonly onChanged: () => void;
}

/** Puts the newest known state of evacuations in force in a registry. */
export class EvacuationWatch {
  readonly #options: EvacuationWatchOptions;
  #version = 0;
  #known: ReadonlySet<string> = new Set();
  #inForce: ReadonlySet<string> = new Set();
  #isConfirmed = false;

  /**
   * Creates the watch. Until {@link confirm}, the registry offers no targets: a
   * process that has just started may have missed an order.
   */
  constructor(options: EvacuationWatchOptions) {
    this.#options = options;
    options.registry.setEvacuated(undefined);
  }

  /**
   * Gets the number of changes that the known state includes; undefined until a
   * control instance has told its state.
   */
  get version(): number | undefined {
    return this.#isConfirmed ? this.#version : undefined;
  }

  /** Applies a state that is newer than the known one. */
  apply({ version, dataCentres }: EvacuationUpdate): this {
    if (version <= this.#version) return this;
    this.#version = version;
    this.#known = new Set(dataCentres);
    if (this.#isConfirmed) this.#enforce();
    return this;
  }

  /**
   * Applies the state of a control instance, whether it leads or not: without a
   * leader an instance that has started goes on with what the others knew.
   * @param update - Undefined if the known state is as new.
   */
  confirm(update: EvacuationUpdate | undefined): this {
    if (update !== undefined) this.apply(update);
    if (this.#isConfirmed) return this;
    this.#isConfirmed = true;
    this.#enforce();
    return this;
  }

  #enforce(): void {
    const { registry, node, onChanged } = this.#options;
    const { logger, metrics } = node;
    const version = this.#version;
    registry.setEvacuated(this.#known);
    metrics.gauge("targets.evacuatedDataCentres", this.#known.size);
    for (const dataCentre of this.#known) {
      if (this.#inForce.has(dataCentre)) continue;
      logger.event("dataCentreEvacuated", { dataCentre, version });
    }
    for (const dataCentre of this.#inForce) {
      if (this.#known.has(dataCentre)) continue;
      logger.event("dataCentreReadmitted", { dataCentre, version });
      this.#markCold(dataCentre);
    }
    this.#inForce = this.#known;
    onChanged();
  }

  /** Targets without requests for some time are cold until they say otherwise. */
  #markCold(dataCentre: string): void {
    const { registry, getService, now } = this.#options;
    for (const { report } of registry.all) {
      if (report.dataCentre !== dataCentre) continue;
      const { id, incarnation, service } = report;
      const coldMs = getService(service)?.slowStart?.durationMs ?? 0;
      registry.extendCold(id, incarnation, { coldMs, now: now() });
    }
  }
}

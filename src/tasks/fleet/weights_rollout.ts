/** Orders targets to load the weight versions that trainers announce. */
import {
  type RegisteredTarget,
  type TargetRegistry,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import type { LoadedVersion } from "../../core/registry/mod.ts";
import {
  namesService,
  type PolicyDocument,
  type ServicePolicy,
} from "../../core/policy/mod.ts";
import {
  assignModels,
  dueLoads,
  FIRST_VERSION,
} from "../../core/weights/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { OrderLease } from "./order_lease.ts";
import { LoadMode, type OrderOutcome, type OrderPort } from "./order_port.ts";

/** Options of {@link WeightsRollout}. */
export interface WeightsRolloutOptions {
  readonly lease: OrderLease;
  readonly orders: OrderPort;
  readonly registry: TargetRegistry;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Gets monotonic time in milliseconds, which includes time in which the
   * machine was suspended.
   */
  readonly now: () => number;
  readonly policy: () => PolicyDocument | undefined;
  /** Gets the newest announced version of each model. */
  readonly newestVersions: () => ReadonlyMap<string, number>;
  /** Time between two reports of a target, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Called when a target has said that it leaves. */
  readonly onTargetLeaving: (target: TargetReport) => void;
  /** Called when a target has been ordered to load weights. */
  readonly onLoading: (loading: LoadedVersion) => void;
  /** Called when a target has loaded weights. */
  readonly onLoaded: (loaded: LoadedVersion) => void;
}

interface Load {
  readonly target: TargetReport;
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
}

const TICK_MS = 150;
/** Share of a service's targets that may load at the same time. */
const LOADING_SHARE = 0.25;
/**
 * Share of a model's targets that may load at the same time; the others
 * continue to run items.
 */
const MODEL_LOADING_SHARE = 0.5;
const STATUS_TIMEOUT_MS = 500;
const POLL_MS = 300;
const LOAD_TIMEOUT_MS = 8_000;
const RETRY_MS = 500;
/** Number of missed reports after which a target gets no load orders. */
const MISSED_REPORTS = 3;

/** Rolls out each model's newest version to its targets. */
export class WeightsRollout {
  readonly #options: WeightsRolloutOptions;
  /** Model that is being loaded, by target. */
  readonly #loading = new Map<string, string>();
  readonly #retryAt = new Map<string, number>();
  readonly #assignedModels = new Map<string, string>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: WeightsRolloutOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer ??= setInterval(() => this.check(), TICK_MS);
  }

  /** Stops the rollout; orders in flight are not cancelled. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#retryAt.clear();
    this.#assignedModels.clear();
  }

  /** Orders the loads that are due, if this replica may send orders. */
  check(): void {
    if (this.#timer === undefined) return;
    if (this.#options.lease.get() === undefined) return;
    const policy = this.#options.policy();
    for (const service of policy?.services ?? []) {
      if (service.models.length > 0) this.#checkService(service, policy!);
    }
  }

  #checkService(service: ServicePolicy, policy: PolicyDocument): void {
    const { now } = this.#options;
    const targets = this.#reportingTargets(service.name);
    const announced = [...this.#options.newestVersions()]
      .filter(([model]) => service.models.includes(model));
    if (announced.length === 0) return;
    const newest = new Map<string, number>();
    for (const model of service.models) newest.set(model, FIRST_VERSION);
    for (const [model, version] of announced) newest.set(model, version);
    const assignment = assignModels({
      targets: targets.map((t) => t.report),
      newest,
      previous: this.#assignedModels,
    });
    for (const [model, ids] of assignment) {
      for (const id of ids) this.#assignedModels.set(id, model);
    }
    const limit = Math.max(1, Math.floor(targets.length * LOADING_SHARE));
    const mode = loadModeOf(service, policy);
    const due = dueLoads(assignment, {
      newest,
      versionOf: (id, model) =>
        this.#options.registry.get(id)?.report.versions[model] ?? 0,
    });
    for (const { id, model, version } of due) {
      if (this.#loading.size >= limit) return;
      const target = this.#options.registry.get(id)?.report;
      if (target === undefined || this.#loading.has(id)) continue;
      if (this.#countLoads(model) >= maxLoads(assignment.get(model))) continue;
      if (now() < (this.#retryAt.get(id) ?? -Infinity)) continue;
      this.#start({ target, model, version, mode });
    }
  }

  #countLoads(model: string): number {
    return [...this.#loading.values()].filter((m) => m === model).length;
  }

  #reportingTargets(service: string): RegisteredTarget[] {
    const { registry, reportIntervalMs, now } = this.#options;
    const limitMs = reportIntervalMs * MISSED_REPORTS;
    return registry.readyOf(service)
      .filter(({ reportedAt }) => now() - reportedAt < limitMs);
  }

  #start(load: Load): void {
    const { id } = load.target;
    const { logger, now } = this.#options;
    this.#loading.set(id, load.model);
    this.#load(load)
      .catch((err) => logger.error(err, { target: id }))
      .finally(() => {
        this.#loading.delete(id);
        this.#retryAt.set(id, now() + RETRY_MS);
        this.check();
      });
  }

  async #load(load: Load): Promise<void> {
    const { orders, lease, logger } = this.#options;
    const { target, model, version, mode } = load;
    const status = await orders.status(target, STATUS_TIMEOUT_MS);
    if (status === undefined) {
      return this.#onFailed(load, "target did not answer the status request");
    }
    if (status.isLeaving) return this.#options.onTargetLeaving(target);
    if ((status.versions[model] ?? 0) >= version) return this.#onLoaded(load);
    if (status.isBusy) return await this.#awaitLoaded(load);
    if (this.#options.registry.isEvacuated(target.dataCentre)) return;
    const grant = lease.get();
    if (grant === undefined) return;
    const order = {
      target,
      model,
      version,
      mode,
      expectedOrders: status.orders,
    };
    this.#options.metrics.count("loads.ordered");
    logger.event("loadOrdered", {
      target: target.id,
      model,
      version,
      fence: grant.token.fence,
      orders: status.orders,
    });
    this.#options.onLoading(toLoadedVersion(load));
    const outcome = await orders.load(order, grant);
    await this.#onOutcome[outcome](load);
  }

  readonly #onOutcome: Readonly<
    Record<OrderOutcome, (load: Load) => void | Promise<void>>
  > = {
    accepted: (load) => this.#awaitLoaded(load),
    held: (load) => this.#onLoaded(load),
    conflict: (load) => this.#awaitLoaded(load),
    fenced: (load) =>
      this.#onFailed(load, "fenced: target has seen a later leader"),
    refused: (load) => this.#onFailed(load, "target rejected the order"),
    throttled: (load) => this.#onFailed(load, "target's rate limit exceeded"),
    unanswered: (load) => this.#awaitLoaded(load),
    notSent: (load) => this.#onFailed(load, "lease ended before the order"),
  };

  /**
   * Polls the target until it has loaded the version, is idle, does not answer
   * or is removed from the registry, for up to {@link LOAD_TIMEOUT_MS}.
   */
  async #awaitLoaded(load: Load): Promise<void> {
    const { orders, registry, now } = this.#options;
    const endsAt = now() + LOAD_TIMEOUT_MS;
    while (now() < endsAt && this.#timer !== undefined) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      const report = registry.get(load.target.id)?.report;
      if (report === undefined || report.state === TargetState.Removed) return;
      if ((report.versions[load.model] ?? 0) >= load.version) return;
      const status = await orders.status(load.target, STATUS_TIMEOUT_MS);
      if ((status?.versions[load.model] ?? 0) >= load.version) {
        return this.#onLoaded(load);
      }
      if (status === undefined || !status.isBusy) {
        return this.#onFailed(
          load,
          "load not confirmed: target idle or status request unanswered",
        );
      }
    }
  }

  #onLoaded(load: Load): void {
    const { target, model, version } = load;
    const { logger, onLoaded } = this.#options;
    logger.event("loadEnded", { target: target.id, model, version });
    onLoaded(toLoadedVersion(load));
  }

  #onFailed(load: Load, reason: string): void {
    const { target, model, version } = load;
    this.#options.metrics.count("loads.failed");
    this.#options.logger.event("loadFailed", {
      target: target.id,
      model,
      version,
      reason,
    });
  }
}

/** Gets the number of a model's targets that may load at the same time. */
function maxLoads(share: readonly string[] = []): number {
  return Math.max(1, Math.floor(share.length * MODEL_LOADING_SHARE));
}

function toLoadedVersion({ target, model, version }: Load): LoadedVersion {
  const { id, incarnation } = target;
  return { target: id, incarnation, model, version };
}

/**
 * Gets the load mode of a service. Running requests continue on new weights
 * only if no route to the service requires a single version.
 */
function loadModeOf(service: ServicePolicy, policy: PolicyDocument): LoadMode {
  const isSingleVersion = policy.routes.some((route) =>
    route.isSingleVersion && namesService(route, service.name)
  );
  return isSingleVersion ? LoadMode.Finish : LoadMode.Continue;
}

/** Orders targets to load the versions that trainers have named. */
import {
  type RegisteredTarget,
  type TargetRegistry,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import type { LoadedVersion } from "../../core/registry/mod.ts";
import type { PolicyDocument, ServicePolicy } from "../../core/policy/mod.ts";
import {
  dueLoads,
  FIRST_VERSION,
  shareModels,
} from "../../core/weights/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { DutyLease } from "./duty_lease.ts";
import { LoadMode, type OrderOutcome, type OrderPort } from "./order_port.ts";

/** Options of {@link WeightsDuty}. */
export interface WeightsDutyOptions {
  readonly lease: DutyLease;
  readonly orders: OrderPort;
  readonly registry: TargetRegistry;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets a clock that counts time in which the machine stood still. */
  readonly now: () => number;
  readonly policy: () => PolicyDocument | undefined;
  /** Gets the newest version of each model that was named. */
  readonly newest: () => ReadonlyMap<string, number>;
  /** Time between two reports of a target. */
  readonly reportIntervalMs: number;
  /** Tells that a target has been ordered to load. */
  readonly onLoading: (loading: LoadedVersion) => void;
  /** Tells that a target has loaded. */
  readonly onLoaded: (loaded: LoadedVersion) => void;
}

interface Load {
  readonly target: TargetReport;
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
}

const TICK_MS = 150;
/** Part of a service's targets that may load at once. */
const LOADING_SHARE = 0.25;
/** Part of a model's targets that may load at once: the others run items. */
const MODEL_LOADING_SHARE = 0.5;
const STATUS_TIMEOUT_MS = 500;
const POLL_MS = 300;
const LOAD_TIMEOUT_MS = 8_000;
const RETRY_MS = 500;
/** Reports that a target may miss before it counts as silent. */
const MISSED_REPORTS = 3;

/** Keeps the targets of each model at its newest version. */
export class WeightsDuty {
  readonly #options: WeightsDutyOptions;
  /** Model that each target loads, by target. */
  readonly #loading = new Map<string, string>();
  readonly #notBefore = new Map<string, number>();
  readonly #followed = new Map<string, string>();
  #timer: NodeJS.Timeout | undefined;

  /** Creates the duty; it does nothing yet. */
  constructor(options: WeightsDutyOptions) {
    this.#options = options;
  }

  /** Begins the duty. */
  start(): void {
    this.#timer ??= setInterval(() => this.check(), TICK_MS);
  }

  /** Ends the duty; orders that were sent run their course. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#notBefore.clear();
    this.#followed.clear();
  }

  /** Orders what is due. */
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
    const targets = this.#usable(service.name);
    const named = [...this.#options.newest()]
      .filter(([model]) => service.models.includes(model));
    if (named.length === 0) return;
    const newest = new Map<string, number>();
    for (const model of service.models) newest.set(model, FIRST_VERSION);
    for (const [model, version] of named) newest.set(model, version);
    const shares = shareModels({
      targets: targets.map((t) => t.report),
      newest,
      followed: this.#followed,
    });
    for (const [model, ids] of shares) {
      for (const id of ids) this.#followed.set(id, model);
    }
    const limit = Math.max(1, Math.floor(targets.length * LOADING_SHARE));
    const mode = modeOf(service, policy);
    const due = dueLoads(shares, {
      newest,
      versionOf: (id, model) =>
        this.#options.registry.get(id)?.report.versions[model] ?? 0,
    });
    for (const { id, model, version } of due) {
      if (this.#loading.size >= limit) return;
      const target = this.#options.registry.get(id)?.report;
      if (target === undefined || this.#loading.has(id)) continue;
      if (this.#loadsOf(model) >= mostLoads(shares.get(model))) continue;
      if (now() < (this.#notBefore.get(id) ?? -Infinity)) continue;
      this.#start({ target, model, version, mode });
    }
  }

  #loadsOf(model: string): number {
    return [...this.#loading.values()].filter((m) => m === model).length;
  }

  #usable(service: string): RegisteredTarget[] {
    const { registry, reportIntervalMs, now } = this.#options;
    const limitMs = reportIntervalMs * MISSED_REPORTS;
    return registry.readyOf(service)
      .filter(({ heardAt }) => now() - heardAt < limitMs);
  }

  #start(load: Load): void {
    const { id } = load.target;
    const { logger, now } = this.#options;
    this.#loading.set(id, load.model);
    this.#load(load)
      .catch((err) => logger.error(err, { target: id }))
      .finally(() => {
        this.#loading.delete(id);
        this.#notBefore.set(id, now() + RETRY_MS);
        this.check();
      });
  }

  async #load(load: Load): Promise<void> {
    const { orders, lease, logger } = this.#options;
    const { target, model, version, mode } = load;
    const status = await orders.status(target, STATUS_TIMEOUT_MS);
    if (status === undefined) return this.#fail(load, "No status");
    if ((status.versions[model] ?? 0) >= version) return this.#loaded(load);
    if (status.isBusy) return await this.#await(load);
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
    this.#options.onLoading(loadedOf(load));
    const outcome = await orders.load(order, grant.token, grant.timeoutMs);
    await this.#onOutcome[outcome](load);
  }

  readonly #onOutcome: Readonly<
    Record<OrderOutcome, (load: Load) => void | Promise<void>>
  > = {
    accepted: (load) => this.#await(load),
    held: (load) => this.#loaded(load),
    conflict: (load) => this.#await(load),
    fenced: (load) => this.#fail(load, "A later holder was seen"),
    refused: (load) => this.#fail(load, "Refused"),
    throttled: (load) => this.#fail(load, "Throttled"),
    unanswered: (load) => this.#await(load),
  };

  /** Looks again and again until the version is there. */
  async #await(load: Load): Promise<void> {
    const { orders, registry, now } = this.#options;
    const endsAt = now() + LOAD_TIMEOUT_MS;
    while (now() < endsAt && this.#timer !== undefined) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      const known = registry.get(load.target.id)?.report;
      if (known === undefined || known.state === TargetState.Gone) return;
      if ((known.versions[load.model] ?? 0) >= load.version) return;
      const status = await orders.status(load.target, STATUS_TIMEOUT_MS);
      if ((status?.versions[load.model] ?? 0) >= load.version) {
        return this.#loaded(load);
      }
      if (status === undefined || !status.isBusy) {
        return this.#fail(load, "Not loaded");
      }
    }
  }

  #loaded(load: Load): void {
    const { target, model, version } = load;
    const { logger, onLoaded } = this.#options;
    logger.event("loadEnded", { target: target.id, model, version });
    onLoaded(loadedOf(load));
  }

  #fail(load: Load, reason: string): void {
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

/** Gets how many targets of a model's share may load at once. */
function mostLoads(share: readonly string[] = []): number {
  return Math.max(1, Math.floor(share.length * MODEL_LOADING_SHARE));
}

function loadedOf({ target, model, version }: Load): LoadedVersion {
  const { id, incarnation } = target;
  return { target: id, incarnation, model, version };
}

/** Runs go on under new weights only where no route forbids a mixture. */
function modeOf(service: ServicePolicy, policy: PolicyDocument): LoadMode {
  const isPure = policy.routes.some((route) =>
    route.isSingleVersion &&
    route.shares.some((share) => share.service === service.name)
  );
  return isPure ? LoadMode.Finish : LoadMode.Continue;
}

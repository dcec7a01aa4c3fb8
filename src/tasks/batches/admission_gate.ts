/** Decides on submitted batches by what the ledger's leader knows. */
import {
  type AdmissionDecision,
  type AdmissionInput,
  AdmissionReason,
  BatchDrain,
  type BatchItem,
  type BatchPlace,
  type BatchRecord,
  type BatchSpec,
  type BatchState,
  type CapacityLimits,
  type CapacityTarget,
  decideAdmission,
  eventsPerMsOf,
  expectedLengthOf,
  findPrecedingWork,
  type RunEstimator,
  type ServiceCapacity,
  ServiceTargets,
  type TargetPace,
  wantedTokensOf,
} from "../../core/batches/mod.ts";
import type { PolicyView } from "../../core/policy/mod.ts";
import type { TargetRegistry, TargetReport } from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link AdmissionGate}. */
export interface AdmissionGateOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  readonly registry: TargetRegistry;
  readonly runs: RunTable;
  readonly targetPace: TargetPace;
  readonly estimator: RunEstimator;
  /** Gets the policy in force; undefined before the first. */
  readonly policy: () => PolicyView | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Interval at which targets are recorded and gauges set, in milliseconds. */
const SAMPLE_INTERVAL_MS = 1_000;
const MS_PER_S = 1_000;

/**
 * Applies the decision on batches to the state of the ledger's leader.
 *
 * @example
 * ```ts
 * const decision = gate.decide(spec);
 * if (!decision.isAdmitted) gate.onRefused(spec, decision);
 * ```
 */
export class AdmissionGate {
  /** Measures the drain rates; to be told of batches and results. */
  readonly drain = new BatchDrain();
  readonly #options: AdmissionGateOptions;
  readonly #targets = new ServiceTargets();
  #sampledAt = -Infinity;

  constructor(options: AdmissionGateOptions) {
    this.#options = options;
  }

  /** Starts to measure, as a new leader that knows no drain rate. */
  start(): this {
    const { state, now } = this.#options;
    this.drain.start(state().all, now());
    return this;
  }

  /** Forgets what was measured as leader, and sets the gauges to 0. */
  stop(): this {
    // The next leader sets them; else a sum over instances counts work twice.
    for (const service of this.drain.services) {
      this.#options.metrics.gauge(`batches.openTokens.${service}`, 0)
        .gauge(`batches.drainMs.${service}`, 0);
    }
    this.drain.stop();
    return this;
  }

  /** Records the present targets and sets the gauges, once per second. */
  sample(): void {
    const now = this.#options.now();
    if (now - this.#sampledAt < SAMPLE_INTERVAL_MS) return;
    this.#sampledAt = now;
    this.#recordTargets(now);
    const { metrics } = this.#options;
    for (const service of this.drain.services) {
      const tokens = this.drain.openTokens(service);
      const tokensPerMs = this.drain.tokensPerMs(service, now);
      metrics.gauge(`batches.openTokens.${service}`, Math.round(tokens));
      metrics.gauge(
        `batches.drainMs.${service}`,
        tokensPerMs === undefined ? 0 : Math.round(tokens / tokensPerMs),
      );
    }
  }

  /** Decides whether a batch that was not accepted before may be accepted. */
  decide(spec: BatchSpec): AdmissionDecision {
    const now = this.#options.now();
    const { service, items } = spec;
    this.#recordTargets(now);
    const capacity = this.#capacityOf(spec, now);
    const drainTokensPerMs = this.drain.tokensPerMs(service, now);
    const openItems = this.drain.openItems(service);
    // The work is looked through only where the batch may be refused.
    const mayWait = capacity !== undefined && drainTokensPerMs !== undefined &&
      openItems + items.length > capacity.slots;
    return decideAdmission({
      batch: spec.id,
      workspace: spec.workspace,
      items: items.length,
      giveUpInMs: spec.giveUpMs,
      openItems,
      capacity,
      drainTokensPerMs,
      leadingMs: this.drain.elapsedMs(now),
      ...(mayWait ? this.#findWork(spec, now) : { tokens: 0, preceding: [] }),
    });
  }

  /** Counts and logs a refusal with what was known. */
  onRefused(spec: BatchSpec, decision: AdmissionDecision): void {
    const { metrics, logger, now } = this.#options;
    const { reason, retryAfterMs } = decision;
    metrics.count(
      reason === AdmissionReason.UrgentWork
        ? "batches.refused.urgentWork"
        : "batches.refused.aboveShare",
    );
    const rate = this.drain.tokensPerMs(spec.service, now()) ?? 0;
    logger.event("batchRefused", {
      batch: spec.id,
      workspace: spec.workspace,
      service: spec.service,
      reason,
      items: spec.items.length,
      precedingTokens: Math.round(decision.precedingTokens),
      roomTokens: Math.round(decision.capacityTokens),
      shareTokens: Math.round(decision.shareTokens),
      usedTokens: Math.round(decision.usedTokens),
      drainTokensPerS: Math.round(rate * MS_PER_S),
      slots: this.#capacityOf(spec, now())?.slots ?? 0,
      giveUpMs: spec.giveUpMs,
      retryAfterMs,
    });
  }

  #recordTargets(now: number): void {
    this.#targets.onSeen(
      this.#options.registry.presentReports
        .map((report) => this.#capacityTargetOf(report, now)),
      now,
    );
  }

  #capacityTargetOf(report: TargetReport, now: number): CapacityTarget {
    const { id, service, dataCentre, slots } = report;
    const paceMs = this.#options.targetPace.inherentPaceMs(report, now);
    const isPaceKnown = this.#options.targetPace.isPaceKnown(report);
    return { id, service, dataCentre, slots, paceMs, isPaceKnown };
  }

  /**
   * Gets the capacity for a batch; undefined if too little is known to tell.
   */
  #capacityOf(
    { service, homes }: BatchSpec,
    now: number,
  ): ServiceCapacity | undefined {
    const { registry, estimator, policy } = this.#options;
    const tokensPerEvent = estimator.tokensPerEvent(service);
    const known = policy()?.getService(service);
    if (tokensPerEvent === undefined || known === undefined) return undefined;
    const isAllowed = (dataCentre: string) =>
      registry.isWithin(dataCentre, homes);
    const { scaling } = known;
    const limits: CapacityLimits | undefined = scaling && {
      // Which targets are ordered is known to control alone. It orders as many
      // as the demand needs, so all that it may order count as ordered.
      maxTargets: scaling.max *
        Object.keys(scaling.prices).filter(isAllowed).length,
      bootMs: scaling.bootMs,
    };
    return this.#targets
      .capacityOf(service, { tokensPerEvent, isAllowed, limits, now });
  }

  /** Gets the work that precedes a batch, and its own in tokens. */
  #findWork(
    spec: BatchSpec,
    now: number,
  ): Pick<AdmissionInput, "preceding" | "tokens"> {
    const { state, estimator } = this.#options;
    const { service } = spec;
    const tokensPerEvent = estimator.tokensPerEvent(service) ?? 0;
    const records = state().all;
    // Items that several batches contain run once.
    const counted = new Set<string>();
    const keyOf = (workspace: string, item: BatchItem) =>
      JSON.stringify([workspace, item.id]);
    const preceding = findPrecedingWork({
      spec,
      records,
      now: Date.now(),
      tokensOf: (record, item) => {
        const key = keyOf(record.spec.workspace, item);
        if (counted.has(key)) return 0;
        counted.add(key);
        return this.#remainingTokensOf(record, item, tokensPerEvent);
      },
      placeOf: (record) => this.#placeOf(record, tokensPerEvent, now),
    });
    for (const record of records) {
      if (record.spec.workspace !== spec.workspace) continue;
      for (const item of record.spec.items) {
        if (record.hasResult(item.id) || record.isOpen) {
          counted.add(keyOf(spec.workspace, item));
        }
      }
    }
    const tokens = wantedTokensOf(spec, {
      isRunnable: () => true,
      tokensOf: (item) =>
        counted.has(keyOf(spec.workspace, item)) ? 0 : expectedLengthOf(item),
    });
    return { preceding, tokens };
  }

  #remainingTokensOf(
    record: BatchRecord,
    item: BatchItem,
    tokensPerEvent: number,
  ): number {
    if (record.hasCompleteText(item.id)) return 0;
    const events = this.#options.runs.get(record.spec.id, item.id)?.text
      .lastId ?? record.getPartialText(item.id)?.lastId ?? 0;
    return Math.max(0, expectedLengthOf(item) - events * tokensPerEvent);
  }

  /** Gets the targets that can run a batch now, and their rate. */
  #placeOf(
    { spec }: BatchRecord,
    tokensPerEvent: number,
    now: number,
  ): BatchPlace {
    const { service, homes, minVersion, items } = spec;
    const model = minVersion > 0 ? items[0]?.model ?? "" : "";
    const place = JSON.stringify([homes, model, minVersion]);
    const placeTokensPerMs = this.#options.registry.readyOf(service, homes)
      .map(({ report }) => report)
      .filter(({ versions }) =>
        minVersion === 0 || (versions[model] ?? 0) >= minVersion
      )
      .reduce(
        (sum, report) =>
          sum + eventsPerMsOf(this.#capacityTargetOf(report, now)),
        0,
      ) * tokensPerEvent;
    return { place, placeTokensPerMs };
  }
}

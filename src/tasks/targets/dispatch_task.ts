/** Executes the decisions of the dispatcher. */
import {
  type AttemptOutcome,
  type DispatchEffect,
  Dispatcher,
  type DispatcherOptions,
} from "../../core/dispatch/mod.ts";
import {
  type LoadReport,
  type Target,
  type TargetAnnouncement,
  TargetEvent,
  TargetPhase,
} from "../../core/routing/mod.ts";
import { InvariantError } from "../../core/invariants/mod.ts";
import { Suspicion, type SuspicionChange } from "../../core/quarantine/mod.ts";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics, RetryMetric } from "../../metrics/mod.ts";
import {
  createTargetConnections,
  Exchange,
  type ExchangeResult,
} from "./exchange.ts";
import type { TargetConnections, TargetPaths } from "../paths/mod.ts";
import type { Job, JobResult, JobSink } from "./job.ts";
import { parseTargetUrl } from "./target_url.ts";
import { type HealthResponse, TargetProber } from "./target_prober.ts";

/** Options of {@link DispatchTask}. */
export interface DispatchTaskOptions extends DispatcherOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Bearer token sent to targets. */
  readonly targetCredential?: string;
  /** Ways to targets; by default, connections of this instance only. */
  readonly paths?: TargetPaths;
  /** Timeout of a probe, in milliseconds. */
  readonly probeTimeoutMs: number;
  /** Called with suspicions raised by this instance, to publish them. */
  readonly onSuspicion?: (change: SuspicionChange) => void;
}

interface ActiveJob {
  readonly job: Job;
  sink: JobSink | undefined;
  abort: AbortController | undefined;
}

/** Interval of the check for delayed and overdue items, in milliseconds. */
const TICK_INTERVAL_MS = 25;

/**
 * Runs jobs at targets as decided by the dispatcher, and owns the connections.
 */
export class DispatchTask {
  readonly #options: DispatchTaskOptions;
  readonly #dispatcher: Dispatcher;
  readonly #connections: TargetConnections;
  readonly #prober: TargetProber;
  readonly #jobs = new Map<string, ActiveJob>();
  readonly #timer: NodeJS.Timeout;
  #wasIdle = false;

  /** Creates the task; its timer starts at once. */
  constructor(options: DispatchTaskOptions) {
    this.#options = options;
    this.#connections = createTargetConnections(options.paths);
    this.#dispatcher = new Dispatcher(options);
    this.#prober = new TargetProber({
      connections: this.#connections,
      timeoutMs: options.probeTimeoutMs,
      credential: options.targetCredential,
    });
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  /** Gets the dispatcher, for reading its state. */
  get dispatcher(): Dispatcher {
    return this.#dispatcher;
  }

  /** Gets the number of waiting and running jobs. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Gets whether a target that is not leaving has an address. */
  hasTargetAt(address: string): boolean {
    return this.#dispatcher.targets.list()
      .some((target) => target.mayServe() && addressOf(target) === address);
  }

  /** Submits a job; its result is reported to {@link Job.onEnd}. */
  submit(job: Job): this {
    this.#jobs.set(job.item.id, { job, sink: undefined, abort: undefined });
    this.#applyEffects(this.#dispatcher.submit(job.item, this.#options.now()));
    return this;
  }

  /** Cancels a job and aborts its exchange with the target. */
  cancel(itemId: string): this {
    const active = this.#jobs.get(itemId);
    if (active === undefined) return this;
    this.#dispatcher.cancel(itemId, this.#options.now());
    active.abort?.abort();
    this.#endJob(itemId, { type: "cancelled" });
    this.#applyEffects(this.#dispatcher.tick(this.#options.now()));
    return this;
  }

  /** Applies the announcement of a target. */
  announce(announcement: TargetAnnouncement): this {
    const previous = this.#dispatcher.targets.get(announcement.id);
    if (previous?.announcement.incarnation !== announcement.incarnation) {
      const { id, zone, incarnation } = announcement;
      this.#options.logger.event("targetAnnounced", {
        target: id,
        zone,
        incarnation,
      });
    }
    this.#applyEffects(
      this.#dispatcher.announce(announcement, this.#options.now()),
    );
    return this;
  }

  /** Marks a target as leaving, so that it gets no new items. */
  markLeaving(targetId: string): this {
    this.#options.logger.event("targetLeaving", { target: targetId });
    this.#dispatcher.markLeaving(targetId);
    return this;
  }

  remove(targetId: string): this {
    this.#options.logger.event("targetRemoved", { target: targetId });
    this.#dispatcher.removeTarget(targetId);
    this.#options.paths?.keepOnly(this.#addresses);
    return this;
  }

  /** Applies an event to the lifecycle state of a target. */
  sendTargetEvent(targetId: string, event: TargetEvent): this {
    const now = this.#options.now();
    this.#applyEffects(this.#dispatcher.sendTargetEvent(targetId, event, now));
    return this;
  }

  /** Applies a load report of a target. */
  reportLoad(targetId: string, report: LoadReport): this {
    const now = this.#options.now();
    this.#applyEffects(this.#dispatcher.onLoadReport(targetId, report, now));
    return this;
  }

  /** Merges a suspicion raised by another instance. */
  mergeSuspicion(change: SuspicionChange): this {
    const now = this.#options.now();
    this.#applyEffects(this.#dispatcher.mergeSuspicion(change, now));
    return this;
  }

  /** Applies the limits of a changed configuration. */
  reconfigure(): this {
    this.#dispatcher.reconfigure();
    return this;
  }

  /**
   * Probes a target and applies the result.
   * @returns The health; undefined if the target is unknown or did not respond.
   */
  async probe(targetId: string): Promise<HealthResponse | undefined> {
    const target = this.#dispatcher.targets.get(targetId);
    if (target === undefined) return undefined;
    const health = await this.#prober.probe(target.announcement);
    if (health.type !== "answered") {
      if (health.type === "refused") this.#onTargetDied(targetId);
      return undefined;
    }
    this.#applyHealth(target.announcement, health);
    return health;
  }

  /** Applies the health of a target as probed by another instance. */
  mergeHealth(targetId: string, health: HealthResponse): this {
    const target = this.#dispatcher.targets.get(targetId);
    if (target !== undefined) this.#applyHealth(target.announcement, health);
    return this;
  }

  /** Makes the dispatcher refuse new jobs. */
  close(): this {
    this.#dispatcher.close();
    return this;
  }

  /** Cancels all jobs, which resets their connections, and closes the others. */
  stop(): void {
    clearInterval(this.#timer);
    for (const id of [...this.#jobs.keys()]) this.cancel(id);
    this.#connections.closeIdleExcept(new Set());
  }

  /** Gets the addresses of all targets. */
  get #addresses(): ReadonlySet<string> {
    return new Set(this.#dispatcher.targets.list().map(addressOf));
  }

  #applyHealth(announcement: TargetAnnouncement, health: HealthResponse): void {
    const current = this.#dispatcher.targets.get(announcement.id);
    if (current === undefined) return;
    if (current.announcement.incarnation !== announcement.incarnation) return;
    this.announce({
      ...announcement,
      incarnation: health.incarnation,
      weightVersion: health.weightVersion ?? announcement.weightVersion,
    });
    this.reportLoad(announcement.id, health.load);
  }

  #onTargetDied(targetId: string): void {
    const target = this.#dispatcher.targets.get(targetId);
    if (target === undefined || target.phase === TargetPhase.Gone) return;
    this.#options.metrics.count("targets.died");
    this.#options.logger.event("targetDied", { target: targetId });
    this.#applyEffects(
      this.#dispatcher.targetDied(targetId, this.#options.now()),
    );
  }

  #tick(): void {
    const { metrics, logger, now } = this.#options;
    const isIdle = this.#dispatcher.size === 0;
    if (isIdle && this.#wasIdle) return;
    this.#wasIdle = isIdle;
    try {
      this.#applyEffects(this.#dispatcher.tick(now()));
      metrics.gauge("requests.queued", this.#dispatcher.size);
    } catch (err) {
      this.#logError(err, logger);
    }
  }

  #logError(err: unknown, logger: Logger): void {
    if (!(err instanceof InvariantError)) {
      logger.error(err);
      return;
    }
    this.#options.metrics.count("invariants.refused");
    logger.event("invariantRefused", {
      invariant: err.invariant,
      detail: err.message,
    });
  }

  #applyEffects(effects: readonly DispatchEffect[]): void {
    for (const effect of effects) this.#applyEffect(effect);
  }

  #applyEffect(effect: DispatchEffect): void {
    if (effect.type === "start") {
      this.#startAttempt(effect).catch((err) =>
        this.#options.logger.error(err)
      );
      return;
    }
    if (effect.type === "refuse") {
      const { reason, verdict, retryAfterMs } = effect;
      this.#endJob(effect.item.id, {
        type: "refused",
        reason,
        verdict,
        retryAfterMs,
      });
      return;
    }
    if (effect.type === "retry") {
      this.#countRetry(effect);
      return;
    }
    this.#onSuspicion(effect.change);
  }

  #countRetry(effect: Extract<DispatchEffect, { type: "retry" }>): void {
    const { item, reason, decision } = effect;
    const name: RetryMetric = `retries.${reason}.${decision}`;
    this.#options.metrics.count(name);
    this.#options.logger.event("requestRetried", {
      item: item.id,
      reason,
      decision,
    });
  }

  #onSuspicion(change: SuspicionChange): void {
    if (change.suspicion !== Suspicion.Clear) {
      const isProven = change.suspicion === Suspicion.Proven;
      this.#options.logger.event(
        isProven ? "requestQuarantined" : "requestSuspected",
        { fingerprint: change.fingerprint, deaths: change.deaths },
      );
    }
    this.#options.onSuspicion?.(change);
  }

  async #startAttempt(
    effect: Extract<DispatchEffect, { type: "start" }>,
  ): Promise<void> {
    const { item, targetId } = effect;
    const active = this.#jobs.get(item.id);
    const target = this.#dispatcher.targets.get(targetId);
    if (active === undefined || target === undefined) return;
    const { job } = active;
    const sink = job.createSink(targetId);
    const abort = new AbortController();
    active.sink = sink;
    active.abort = abort;
    job.onPlaced?.(targetId, target.weightVersion);
    const exchange = new Exchange({
      url: target.announcement.url.replace(/\/$/, "") + job.request.path,
      method: job.request.method,
      headers: this.#createHeaders(job),
      body: job.request.body,
      requestId: `${item.id}#${effect.attempt}`,
      timeoutMs: job.request.timeoutMs,
      firstTokenTimeoutMs: effect.firstTokenTimeoutMs,
      signal: abort.signal,
    }, sink);
    const result = await exchange.run(this.#connections);
    if (this.#jobs.get(item.id)?.abort !== abort) return;
    if (result.type === "failed" && result.isBroken) {
      await this.probe(targetId);
      if (this.#jobs.get(item.id)?.abort !== abort) return;
    }
    this.#finishAttempt(item.id, sink, result);
  }

  #createHeaders(job: Job): Record<string, string> {
    const { targetCredential } = this.#options;
    if (targetCredential === undefined) return { ...job.request.headers };
    const authorization = `Bearer ${targetCredential}`;
    return { ...job.request.headers, authorization };
  }

  #finishAttempt(itemId: string, sink: JobSink, result: ExchangeResult): void {
    const now = this.#options.now();
    const targetId = this.#getTargetId(itemId);
    const outcome = toAttemptOutcome(result, sink);
    if (outcome.type === "completed") {
      this.#options.metrics.count("tokens.generated", sink.tokens);
      this.#endJob(itemId, { type: "completed", targetId });
    } else if (outcome.type === "cancelled") {
      this.#endJob(itemId, { type: "cancelled" });
    }
    this.#applyEffects(this.#dispatcher.finish(itemId, outcome, now));
  }

  #getTargetId(itemId: string): string {
    return this.#dispatcher.getTargetOf(itemId) ?? "";
  }

  #endJob(itemId: string, result: JobResult): void {
    const active = this.#jobs.get(itemId);
    if (active === undefined) return;
    this.#jobs.delete(itemId);
    if (result.type === "refused") {
      this.#options.metrics.count(`refusals.${result.reason}`);
      this.#options.logger.event("requestRefused", {
        item: itemId,
        reason: result.reason,
        verdict: result.verdict,
      });
    }
    active.job.onEnd(result, active.sink);
  }
}

function addressOf({ announcement }: Target): string {
  return parseTargetUrl(announcement.url).address;
}

function toAttemptOutcome(
  result: ExchangeResult,
  sink: JobSink,
): AttemptOutcome {
  if (result.type === "whole") {
    return { type: "completed", tokens: sink.tokens };
  }
  if (result.type === "aborted") return { type: "cancelled" };
  const isRefused = result.reason === RefusalReason.TargetRefused;
  return {
    type: "failed",
    reason: result.reason,
    verdict: sink.hasResponded ? Verdict.Ran : result.verdict,
    hasResponded: sink.hasResponded,
    isOverload: isRefused,
    isTargetFault: !isRefused,
    retryAfterMs: result.retryAfterMs,
  };
}

/** Executes the decisions of the dispatcher. */
import {
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
import type { SuspicionChange } from "../../core/quarantine/mod.ts";
import type { TargetConnections, TargetPaths } from "../paths/mod.ts";
import { toAttemptOutcome } from "./attempt_outcome.ts";
import {
  DispatchRecorder,
  type DispatchRecorderOptions,
} from "./dispatch_recorder.ts";
import { createTargetConnections, type ExchangeResult } from "./exchange.ts";
import type { Job, JobResult, JobSink } from "./job.ts";
import { JobTable } from "./job_table.ts";
import { parseTargetUrl } from "./target_url.ts";
import { type HealthResponse, TargetProber } from "./target_prober.ts";

/** Options of {@link DispatchTask}. */
export interface DispatchTaskOptions
  extends DispatcherOptions, DispatchRecorderOptions {
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
  readonly #recorder: DispatchRecorder;
  readonly #jobs: JobTable;
  readonly #timer: NodeJS.Timeout;
  #wasIdle = false;

  /** Creates the task; its timer starts at once. */
  constructor(options: DispatchTaskOptions) {
    this.#options = options;
    this.#connections = createTargetConnections(options.paths);
    this.#dispatcher = new Dispatcher(options);
    this.#recorder = new DispatchRecorder(options);
    this.#jobs = new JobTable(options.targetCredential);
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
    this.#jobs.add(job);
    this.#applyEffects(this.#dispatcher.submit(job.item, this.#options.now()));
    return this;
  }

  /** Cancels a job and aborts its exchange with the target. */
  cancel(itemId: string): this {
    if (!this.#jobs.has(itemId)) return this;
    this.#dispatcher.cancel(itemId, this.#options.now());
    this.#jobs.abort(itemId);
    this.#endJob(itemId, { type: "cancelled" });
    this.#applyEffects(this.#dispatcher.tick(this.#options.now()));
    return this;
  }

  /** Applies the announcement of a target. */
  announce(announcement: TargetAnnouncement): this {
    const previous = this.#dispatcher.targets.get(announcement.id);
    if (previous?.announcement.incarnation !== announcement.incarnation) {
      this.#recorder.announced(announcement);
    }
    const now = this.#options.now();
    this.#applyEffects(this.#dispatcher.announce(announcement, now));
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
    for (const id of this.#jobs.ids) this.cancel(id);
    this.#connections.closeIdleExcept(new Set());
  }

  /** Gets the addresses of all targets. */
  get #addresses(): ReadonlySet<string> {
    return new Set(this.#dispatcher.targets.list().map(addressOf));
  }

  #applyHealth(announcement: TargetAnnouncement, health: HealthResponse): void {
    const current = this.#dispatcher.targets.get(announcement.id);
    if (current?.announcement.incarnation !== announcement.incarnation) return;
    this.announce({
      ...announcement,
      incarnation: health.incarnation,
      weightVersion: health.weightVersion ?? announcement.weightVersion,
    });
    this.reportLoad(announcement.id, health.load);
  }

  #onTargetDied(targetId: string): void {
    const target = this.#dispatcher.targets.get(targetId);
    if (target === undefined || target.phase === TargetPhase.Removed) return;
    this.#recorder.died(targetId);
    const now = this.#options.now();
    this.#applyEffects(this.#dispatcher.targetDied(targetId, now));
  }

  #tick(): void {
    const { metrics, now } = this.#options;
    const isIdle = this.#dispatcher.size === 0;
    if (isIdle && this.#wasIdle) return;
    this.#wasIdle = isIdle;
    try {
      this.#applyEffects(this.#dispatcher.tick(now()));
      metrics.gauge("requests.queued", this.#dispatcher.size);
    } catch (err) {
      this.#recorder.failed(err);
    }
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
      this.#recorder.retried(effect);
      return;
    }
    this.#recorder.suspected(effect.change);
    this.#options.onSuspicion?.(effect.change);
  }

  async #startAttempt(
    effect: Extract<DispatchEffect, { type: "start" }>,
  ): Promise<void> {
    const { item, targetId } = effect;
    const target = this.#dispatcher.targets.get(targetId);
    if (target === undefined) return;
    const attempt = this.#jobs.begin(effect, target);
    if (attempt === undefined) return;
    const result = await attempt.exchange.run(this.#connections);
    if (!this.#jobs.isCurrent(attempt)) return;
    if (result.type === "failed" && result.isBroken) {
      await this.probe(targetId);
      if (!this.#jobs.isCurrent(attempt)) return;
    }
    this.#finishAttempt(item.id, attempt.sink, result);
  }

  #finishAttempt(itemId: string, sink: JobSink, result: ExchangeResult): void {
    const now = this.#options.now();
    const targetId = this.#dispatcher.getTargetOf(itemId) ?? "";
    const outcome = toAttemptOutcome(result, sink);
    if (outcome.type === "completed") {
      this.#options.metrics.count("tokens.generated", sink.tokens);
      this.#endJob(itemId, { type: "completed", targetId });
    } else if (outcome.type === "cancelled") {
      this.#endJob(itemId, { type: "cancelled" });
    }
    this.#applyEffects(this.#dispatcher.finish(itemId, outcome, now));
  }

  #endJob(itemId: string, result: JobResult): void {
    this.#jobs.end(itemId, result, () => {
      if (result.type === "refused") this.#recorder.refused(itemId, result);
    });
  }
}

function addressOf({ announcement }: Target): string {
  return parseTargetUrl(announcement.url).address;
}

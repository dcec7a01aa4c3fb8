/** Admission, queueing, placement and retries of requests. */
import type { LimitSettings } from "../configuration/mod.ts";
import type { AdaptiveWindowOptions } from "../limits/mod.ts";
import {
  Quarantine,
  Suspicion,
  type SuspicionChange,
} from "../quarantine/mod.ts";
import {
  type CacheEvent,
  type LoadReport,
  type Picker,
  type Target,
  type TargetAnnouncement,
  TargetEvent,
  TargetPhase,
  TargetTable,
} from "../routing/mod.ts";
import { RefusalReason, Verdict } from "../verdict/mod.ts";
import type { AttemptOutcome, DispatchEffect } from "./attempt.ts";
import { ActiveRequest } from "./active_request.ts";
import { Admission, NO_TARGET_RETRY_MS } from "./admission.ts";
import { Placement } from "./placement.ts";
import { Pool } from "./pool.ts";
import { RequestTable } from "./request_table.ts";
import { type FailedOutcome, RetryPlanner } from "./retry_planner.ts";
import { type WorkItem, WorkKind } from "./work_item.ts";

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  /** Policy that picks among targets with free capacity. */
  readonly picker: Picker;
  /** Returns a random number from 0 to 1; sets the jitter of retries. */
  readonly random: () => number;
  /** Gets the fair-share weight of a workspace. */
  readonly getWeight: (workspace: string) => number;
  /** Gets the limits of a workspace. */
  readonly getLimits: (workspace: string) => LimitSettings;
  /**
   * Gets whether a target's zone is lasting; targets in spot zones get only
   * idempotent requests. All zones are lasting by default.
   */
  readonly isLasting?: (target: Target) => boolean;
  /** Whether a request waits for a faster target if it then ends sooner. */
  readonly waitsForFaster?: boolean;
  /** Options of the concurrency windows of new targets. */
  readonly window?: AdaptiveWindowOptions;
  /** Gets the share of workspace limits of this instance, from 0 to 1. */
  readonly limitShare?: () => number;
}

/** Time that a queued call waits for a pool that has lost all its targets. */
const NO_TARGET_WAIT_MS = 2_000;

/**
 * Admits, queues, places and retries requests.
 *
 * It does no I/O: each method returns effects that the owner must carry out.
 * A request ends with a `finish` of type `completed` or `cancelled`, with
 * `cancel`, or with a `refuse` effect. All times are in milliseconds.
 *
 * @example
 * ```ts
 * for (const effect of dispatcher.submit(item, Date.now())) run(effect);
 * ```
 */
export class Dispatcher {
  /** Targets known to this instance. */
  readonly targets: TargetTable;
  /** Fingerprints suspected or proven to crash targets. */
  readonly quarantine = new Quarantine();
  readonly #options: DispatcherOptions;
  readonly #pools = new Map<string, Pool>();
  readonly #requests = new RequestTable();
  readonly #retries: RetryPlanner;
  readonly #placement: Placement;
  readonly #admission: Admission;

  /** Creates a dispatcher without targets. */
  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#retries = new RetryPlanner(() => options.random());
    this.targets = new TargetTable(options.window);
    this.#placement = new Placement({
      ...options,
      targets: this.targets,
      quarantine: this.quarantine,
    });
    this.#admission = new Admission({
      targets: this.targets,
      quarantine: this.quarantine,
      getPool: (id) => this.getPool(id),
      getLimits: (workspace) => options.getLimits(workspace),
      limitShare: () => options.limitShare?.() ?? 1,
    });
  }

  /** Gets the number of requests that are queued, delayed or running. */
  get size(): number {
    return this.#requests.size;
  }

  /** Gets the target that currently runs an item. */
  getTargetOf(itemId: string): string | undefined {
    return this.#requests.get(itemId)?.targetId;
  }

  /** Gets a pool; creates it if necessary. */
  getPool(id: string): Pool {
    let pool = this.#pools.get(id);
    if (pool !== undefined) return pool;
    pool = new Pool({ getWeight: this.#options.getWeight });
    this.#pools.set(id, pool);
    return pool;
  }

  /** Refuses all new requests from now on, for a graceful shutdown. */
  close(): this {
    this.#admission.close();
    return this;
  }

  /** Applies changed workspace limits to the existing limiters. */
  reconfigure(): this {
    this.#admission.reconfigure();
    return this;
  }

  /**
   * Admits a request, or refuses it with verdict `notRun`, or `ran` if its
   * fingerprint is quarantined.
   */
  submit(item: WorkItem, now: number): DispatchEffect[] {
    const refusal = this.#admission.refusalOf(item, now);
    if (refusal !== undefined) return [refusal];
    const request = new ActiveRequest(item, now);
    this.#requests.add(request);
    this.getPool(item.pool).add(item, now);
    return this.#placeQueued(item.pool, now);
  }

  /**
   * Processes the outcome of an attempt: completes, retries or refuses.
   *
   * A late outcome, for an item that is unknown or not running, is ignored.
   */
  finish(
    itemId: string,
    outcome: AttemptOutcome,
    now: number,
  ): DispatchEffect[] {
    const request = this.#requests.get(itemId);
    if (request?.targetId === undefined) return [];
    const target = this.targets.get(request.targetId);
    const effects = this.#endAttempt(request, outcome, { target, now });
    return [...effects, ...this.#placeQueued(request.item.pool, now)];
  }

  /**
   * Cancels a request, as when its caller has disconnected.
   * @returns Whether the request was running on a target.
   */
  cancel(itemId: string, now: number): boolean {
    const request = this.#requests.get(itemId);
    if (request === undefined) return false;
    const isRunning = request.targetId !== undefined;
    if (isRunning) this.#placement.onEnd(request, { isCompleted: false, now });
    this.getPool(request.item.pool).remove(request.item, now);
    this.#endRequest(request, { tokens: 0, now });
    return isRunning;
  }

  /**
   * Adds or updates a target; a new incarnation implies that the old one has
   * crashed.
   */
  announce(announcement: TargetAnnouncement, now: number): DispatchEffect[] {
    const existing = this.targets.get(announcement.id);
    const isRestarted = existing !== undefined &&
      existing.announcement.incarnation !== announcement.incarnation;
    const effects = isRestarted ? this.targetDied(announcement.id, now) : [];
    this.targets.announce(announcement);
    return [...effects, ...this.#placeQueuedInAll(announcement.pools, now)];
  }

  /** Records that a target has evicted a prefix from its cache. */
  onEvicted(prefix: string, event: CacheEvent): this {
    this.#options.picker.onEvicted?.(prefix, event);
    return this;
  }

  /** Records the number of tokens that a running attempt has generated. */
  onProgress(itemId: string, tokens: number, now: number): this {
    const request = this.#requests.get(itemId);
    if (request?.targetId === undefined) return this;
    const durationMs = now - request.startedAt;
    this.targets.get(request.targetId)?.onProgress({ tokens, durationMs });
    return this;
  }

  /** Gets the time per token of a target relative to the fastest target. */
  slowdownOf(targetId: string, now: number): number {
    const target = this.targets.get(targetId);
    if (target === undefined) return 1;
    let fastest = target.msPerToken;
    for (const pool of target.announcement.pools) {
      for (const other of this.targets.inPool(pool)) {
        if (!other.isUsable(now)) continue;
        fastest = Math.min(fastest, other.msPerToken);
      }
    }
    return target.msPerToken / fastest;
  }

  /** Marks a target as leaving: it finishes its work and gets no more. */
  markLeaving(targetId: string): this {
    this.targets.markLeaving(targetId);
    return this;
  }

  /** Applies a lifecycle event to a target, such as a weight swap's start. */
  sendTargetEvent(
    targetId: string,
    event: TargetEvent,
    now: number,
  ): DispatchEffect[] {
    const target = this.targets.get(targetId)?.send(event);
    return target === undefined
      ? []
      : this.#placeQueuedInAll(target.announcement.pools, now);
  }

  /** Applies a load report of a target. */
  onLoadReport(
    targetId: string,
    report: LoadReport,
    now: number,
  ): DispatchEffect[] {
    const target = this.targets.get(targetId);
    if (target === undefined) return [];
    target.onLoadReport(report, now);
    return this.#placeQueuedInAll(target.announcement.pools, now);
  }

  /**
   * Records that the process of a target has crashed.
   *
   * Must be called before `finish` for the interrupted attempts, so that none
   * of them is retried before it is under suspicion. The exit of a leaving
   * target is expected and raises no suspicion.
   */
  targetDied(targetId: string, now: number): DispatchEffect[] {
    const target = this.targets.get(targetId);
    if (target === undefined || target.phase === TargetPhase.Removed) return [];
    const isExpected = target.phase === TargetPhase.Leaving;
    target.send(TargetEvent.Lose);
    this.#options.picker.forget(targetId);
    if (isExpected) return [];
    const changes = this.quarantine.onTargetDied(
      target.fingerprints,
      `${targetId}/${target.announcement.incarnation}`,
    );
    return changes.flatMap((change) => [
      { type: "suspect" as const, change },
      ...this.#onSuspicion(change, now),
    ]);
  }

  /** Removes a target that has disappeared; outcomes are not expected. */
  removeTarget(targetId: string): this {
    this.targets.get(targetId)?.send(TargetEvent.Lose);
    this.targets.remove(targetId);
    this.#options.picker.forget(targetId);
    return this;
  }

  /** Merges a suspicion reported by another instance. */
  mergeSuspicion(change: SuspicionChange, now: number): DispatchEffect[] {
    this.quarantine.merge(change);
    return this.#onSuspicion(change, now);
  }

  /** Refuses all waiting requests with a fingerprint that is now proven. */
  #onSuspicion(change: SuspicionChange, now: number): DispatchEffect[] {
    const { fingerprint } = change;
    const suspicion = this.quarantine.suspicionOf(fingerprint);
    if (suspicion === Suspicion.Clear) return [];
    this.#placement.onSuspect(fingerprint);
    if (suspicion !== Suspicion.Proven) return [];
    const waiting = this.#requests.waitingWith(fingerprint)
      .filter((request) => this.#admission.isQuarantined(request.item));
    return waiting.map((request) => {
      request.addVerdict(Verdict.Ran);
      return this.#refuse(request, RefusalReason.Quarantined, now);
    });
  }

  /**
   * Queues retries whose delay is over, refuses requests whose deadline has
   * passed, and places queued requests. Must be called periodically.
   */
  tick(now: number): DispatchEffect[] {
    for (const request of this.#requests.takeDue(now)) {
      this.getPool(request.item.pool).add(request.item, now, { isRetry: true });
    }
    return [
      ...[...this.#requests.takeOverdue(now)].map((request) =>
        this.#refuse(request, RefusalReason.DeadlinePassed, now)
      ),
      ...this.#refuseWithoutTarget(now),
      ...this.#placeQueuedInAll([...this.#pools.keys()], now),
    ];
  }

  #placeQueuedInAll(pools: readonly string[], now: number): DispatchEffect[] {
    return pools.flatMap((pool) => this.#placeQueued(pool, now));
  }

  #placeQueued(poolId: string, now: number): DispatchEffect[] {
    const pool = this.getPool(poolId);
    const effects: DispatchEffect[] = [];
    while (pool.queue.size > 0) {
      const available = [...this.targets.inPool(poolId)]
        .filter((target) => target.hasCapacity(now));
      if (available.length === 0 && !this.#placement.hasReservations) break;
      const effect = this.#placeNext(pool, available, now);
      if (effect === undefined) break;
      effects.push(effect);
    }
    this.#placement.reserveForSuspect(this.#waitingIn(pool), now);
    return effects;
  }

  #placeNext(
    pool: Pool,
    available: readonly Target[],
    now: number,
  ): DispatchEffect | undefined {
    const item = pool.dequeue((entry) => {
      const request = this.#requests.get(entry.id);
      return request !== undefined &&
        this.#placement.candidates(request, available).length > 0;
    }, now);
    const request = this.#requests.get(item?.id ?? "");
    if (item === undefined || request === undefined) return undefined;
    const target = this.#placement.pick(request, available, now);
    const wait = { waitMs: pool.drainMs, now };
    const isPlaced = target !== undefined &&
      !this.#placement.shouldWaitForFaster(request, target, wait);
    if (isPlaced) return this.#start(request, target, now);
    pool.add(item, now, { isRetry: true });
    return undefined;
  }

  *#waitingIn(pool: Pool): IterableIterator<ActiveRequest> {
    for (const item of pool.queue.entries()) {
      const request = this.#requests.get(item.id);
      if (request !== undefined) yield request;
    }
  }

  #start(
    request: ActiveRequest,
    target: Target,
    now: number,
  ): DispatchEffect {
    this.#placement.onStart(request, target, now);
    return {
      type: "start",
      item: request.item,
      targetId: target.id,
      attempt: request.attempts,
      firstTokenTimeoutMs: this.#firstTokenTimeout(request, now),
    };
  }

  #firstTokenTimeout(request: ActiveRequest, now: number): number | undefined {
    if (request.attempts >= request.item.maxAttempts) return undefined;
    if (!request.item.idempotent) return undefined;
    for (const other of this.targets.inPool(request.item.pool)) {
      if (other.id === request.targetId || !other.isUsable(now)) continue;
      return request.item.firstTokenTimeoutMs;
    }
    return undefined;
  }

  #endAttempt(
    request: ActiveRequest,
    outcome: AttemptOutcome,
    context: { target: Target | undefined; now: number },
  ): DispatchEffect[] {
    const { target, now } = context;
    if (outcome.type === "completed") {
      return this.#complete(request, outcome.tokens, context);
    }
    if (outcome.type === "cancelled") {
      this.#placement.onEnd(request, { isCompleted: false, now });
      this.#endRequest(request, { tokens: 0, now });
      return [];
    }
    if (outcome.isOverload) target?.onOverload(now);
    else if (outcome.isTargetFault) target?.onFailure(now);
    request.failedTargets.add(request.targetId ?? "");
    this.#placement.onEnd(request, { isCompleted: false, now });
    return this.#retryOrRefuse(request, outcome, now);
  }

  #complete(
    request: ActiveRequest,
    tokens: number,
    context: { target: Target | undefined; now: number },
  ): DispatchEffect[] {
    const { target, now } = context;
    const durationMs = now - request.startedAt;
    target?.onSuccess({ tokens, durationMs });
    this.#placement.onEnd(request, { isCompleted: true, now });
    const pool = this.getPool(request.item.pool).onTokens(tokens, now);
    pool.serviceTimes.add(durationMs);
    const { workspace } = request.item;
    this.#retries.onSuccess({ workspace, targetId: target?.id ?? "" });
    this.#endRequest(request, { tokens, now });
    const change = this.quarantine.onFinished(request.item.fingerprint);
    return change === undefined ? [] : [{ type: "suspect", change }];
  }

  #retryOrRefuse(
    request: ActiveRequest,
    outcome: FailedOutcome,
    now: number,
  ): DispatchEffect[] {
    const { item } = request;
    request.addVerdict(outcome.verdict);
    if (this.#admission.isQuarantined(item)) {
      request.addVerdict(Verdict.Ran);
      return [this.#refuse(request, RefusalReason.Quarantined, now)];
    }
    const plan = this.#retries.plan(request, outcome, now);
    if (plan.type === "refuse") {
      return [this.#refuse(request, plan.reason, now)];
    }
    const { notBefore, decision } = plan;
    request.notBefore = notBefore;
    this.#requests.delay(request);
    return [{ type: "retry", item, reason: outcome.reason, decision }];
  }

  #refuseWithoutTarget(now: number): DispatchEffect[] {
    const effects: DispatchEffect[] = [];
    for (const [poolId, pool] of this.#pools) {
      if (pool.queue.size === 0 || this.#admission.hasTargetFor(poolId)) {
        continue;
      }
      for (const item of [...pool.queue.entries()]) {
        const request = this.#requests.get(item.id);
        if (request === undefined || item.kind === WorkKind.Sample) continue;
        if (now - request.arrivedAt < NO_TARGET_WAIT_MS) continue;
        effects.push(this.#refuse(request, RefusalReason.NoTarget, now));
      }
    }
    return effects;
  }

  #refuse(
    request: ActiveRequest,
    reason: RefusalReason,
    now: number,
  ): DispatchEffect {
    this.getPool(request.item.pool).remove(request.item, now);
    this.#endRequest(request, { tokens: 0, now });
    return {
      type: "refuse",
      item: request.item,
      reason,
      verdict: request.verdict,
      retryAfterMs: NO_TARGET_RETRY_MS,
    };
  }

  #endRequest(
    request: ActiveRequest,
    options: { tokens: number; now: number },
  ): void {
    const { item } = request;
    this.#placement.unreserve(item.id);
    this.#requests.remove(request);
    this.getPool(item.pool).queue.correct(
      item.workspace,
      item.cost * request.attempts,
      options.tokens,
    );
    this.#admission.release(item, options.tokens, options.now);
  }
}

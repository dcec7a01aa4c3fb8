/** Decides when and where each request runs, and when it is refused. */
import TinyQueue from "tinyqueue";
import type { LimitSettings } from "../configuration/mod.ts";
import { type AdaptiveWindowOptions, WorkspaceLimits } from "../limits/mod.ts";
import {
  Quarantine,
  Suspicion,
  type SuspicionChange,
} from "../quarantine/mod.ts";
import { backoffMs, decideRetry, isRetry } from "../retry/mod.ts";
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
import { Flight } from "./flight.ts";
import { Placement } from "./placement.ts";
import { Pool } from "./pool.ts";
import { RetryBudgets } from "./retry_budgets.ts";
import { type WorkItem, WorkKind } from "./work_item.ts";

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  /** Policy that picks among targets with room. */
  readonly picker: Picker;
  /** Gets a random number from 0 to 1. */
  readonly random: () => number;
  /** Gets the weight of a workspace. */
  readonly getWeight: (workspace: string) => number;
  /** Gets the limits of a workspace. */
  readonly getLimits: (workspace: string) => LimitSettings;
  /** Gets whether a target's zone lasts; others take repeatable work only. */
  readonly isLasting?: (target: Target) => boolean;
  /** Whether work waits for a faster target where that ends sooner. */
  readonly waitsForFaster?: boolean;
  /** Windows of new targets. */
  readonly window?: AdaptiveWindowOptions;
  /** Part of the limits that this instance may use, from 0 to 1. */
  readonly limitShare?: () => number;
}

type FailedOutcome = Extract<AttemptOutcome, { type: "failed" }>;

const DEFAULT_QUEUE_LENGTH = 1_000;
/** Time after which a caller asks again where no target is there. */
const NO_TARGET_RETRY_MS = 1_000;
/** Longest time for which a caller is told to stay away. */
const MAX_RETRY_AFTER_MS = 30_000;
/** Time that a call waits for a pool whose targets are all out. */
const NO_TARGET_WAIT_MS = 2_000;

/**
 * Admits, queues, places and retries requests.
 *
 * It does no I/O: each call returns effects that its owner carries out. A
 * request ends with one `finish` of type `completed` or `cancelled`, or with
 * one `refuse` effect.
 *
 * @example
 * ```ts
 * for (const effect of dispatcher.submit(item, Date.now())) run(effect);
 * ```
 */
export class Dispatcher {
  /** Targets known to this instance. */
  readonly targets: TargetTable;
  /** Requests known to crash targets. */
  readonly quarantine = new Quarantine();
  readonly #options: DispatcherOptions;
  readonly #pools = new Map<string, Pool>();
  readonly #flights = new Map<string, Flight>();
  readonly #delayed = new Set<Flight>();
  readonly #deadlines = new TinyQueue<Flight>(
    [],
    (a, b) => a.item.deadline - b.item.deadline,
  );
  readonly #limits = new Map<string, WorkspaceLimits>();
  readonly #budgets = new RetryBudgets();
  readonly #placement: Placement;
  #isClosed = false;

  /** Creates a dispatcher without targets. */
  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.targets = new TargetTable(options.window);
    this.#placement = new Placement({
      ...options,
      targets: this.targets,
      quarantine: this.quarantine,
    });
  }

  /** Gets the number of requests that wait or run. */
  get size(): number {
    return this.#flights.size;
  }

  /** Gets the target that runs an item now. */
  getTargetOf(itemId: string): string | undefined {
    return this.#flights.get(itemId)?.targetId;
  }

  /** Gets a pool, for its queue and throughput. */
  getPool(id: string): Pool {
    let pool = this.#pools.get(id);
    if (pool !== undefined) return pool;
    pool = new Pool({ getWeight: this.#options.getWeight });
    this.#pools.set(id, pool);
    return pool;
  }

  /** Refuses every new request from now on, for a graceful shutdown. */
  close(): this {
    this.#isClosed = true;
    return this;
  }

  /** Applies changed limits. */
  reconfigure(): this {
    for (const [workspace, limits] of this.#limits) {
      limits.configure(this.#options.getLimits(workspace), this.#share());
    }
    return this;
  }

  /** Admits a request, or refuses it with verdict notRun or ran. */
  submit(item: WorkItem, now: number): DispatchEffect[] {
    const refusal = this.#refusalOf(item, now);
    if (refusal !== undefined) return [refusal];
    const flight = new Flight(item, now);
    this.#flights.set(item.id, flight);
    if (item.deadline !== Infinity) this.#deadlines.push(flight);
    this.getPool(item.pool).add(item, now);
    return this.#pump(item.pool, now);
  }

  /**
   * Ends an attempt.
   *
   * An outcome for an unknown item is a late one and changes nothing.
   */
  finish(
    itemId: string,
    outcome: AttemptOutcome,
    now: number,
  ): DispatchEffect[] {
    const flight = this.#flights.get(itemId);
    if (flight?.targetId === undefined) return [];
    const target = this.targets.get(flight.targetId);
    const effects = this.#endAttempt(flight, outcome, { target, now });
    return [...effects, ...this.#pump(flight.item.pool, now)];
  }

  /**
   * Takes a request back, as when its caller has left.
   * @returns Whether it was running at a target.
   */
  cancel(itemId: string, now: number): boolean {
    const flight = this.#flights.get(itemId);
    if (flight === undefined) return false;
    const isRunning = flight.targetId !== undefined;
    if (isRunning) this.#placement.onLeft(flight, { isWhole: false, now });
    this.getPool(flight.item.pool).remove(flight.item, now);
    this.#end(flight, { tokens: 0, now });
    return isRunning;
  }

  /** Takes in an announcement of a target. */
  announce(announcement: TargetAnnouncement, now: number): DispatchEffect[] {
    const known = this.targets.get(announcement.id);
    const isRestarted = known !== undefined &&
      known.announcement.incarnation !== announcement.incarnation;
    const effects = isRestarted ? this.targetDied(announcement.id, now) : [];
    this.targets.announce(announcement);
    return [...effects, ...this.#pumpAll(announcement.pools, now)];
  }

  /** Takes in that a target has dropped a prefix from its cache. */
  onEvicted(prefix: string, event: CacheEvent): this {
    this.#options.picker.onEvicted?.(prefix, event);
    return this;
  }

  /** Takes in how many tokens a running attempt has generated so far. */
  onProgress(itemId: string, tokens: number, now: number): this {
    const flight = this.#flights.get(itemId);
    if (flight?.targetId === undefined) return this;
    const durationMs = now - flight.startedAt;
    this.targets.get(flight.targetId)?.onProgress({ tokens, durationMs });
    return this;
  }

  /** Gets the time of a token at a target against that at the fastest one. */
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

  /** Marks a target as leaving. */
  leave(targetId: string): this {
    this.targets.leave(targetId);
    return this;
  }

  /** Sends a lifecycle event to a target, as at the start of a weight swap. */
  sendTargetEvent(
    targetId: string,
    event: TargetEvent,
    now: number,
  ): DispatchEffect[] {
    const target = this.targets.get(targetId)?.send(event);
    return target === undefined
      ? []
      : this.#pumpAll(target.announcement.pools, now);
  }

  /** Takes in a load report. */
  reportLoad(
    targetId: string,
    report: LoadReport,
    now: number,
  ): DispatchEffect[] {
    const target = this.targets.get(targetId);
    if (target === undefined) return [];
    target.onLoadReport(report, now);
    return this.#pumpAll(target.announcement.pools, now);
  }

  /**
   * Records that a target's process has died.
   *
   * Call it before the `finish` of the attempts that the death broke, so that
   * none of them is placed again before it is under suspicion. The end of a
   * target that was leaving accuses nobody.
   */
  targetDied(targetId: string, now: number): DispatchEffect[] {
    const target = this.targets.get(targetId);
    if (target === undefined || target.phase === TargetPhase.Gone) return [];
    const isExpected = target.phase === TargetPhase.Leaving;
    target.send(TargetEvent.Lose);
    this.#options.picker.forget(targetId);
    if (isExpected) return [];
    const changes = this.quarantine.onTargetDied(target.fingerprints);
    return changes.flatMap((change) => [
      { type: "suspect" as const, change },
      ...this.#onSuspicion(change, now),
    ]);
  }

  /** Removes a target that is gone and will not answer. */
  removeTarget(targetId: string): this {
    this.targets.get(targetId)?.send(TargetEvent.Lose);
    this.targets.remove(targetId);
    this.#options.picker.forget(targetId);
    return this;
  }

  /** Takes in a suspicion found by another instance. */
  mergeSuspicion(change: SuspicionChange, now: number): DispatchEffect[] {
    this.quarantine.merge(change);
    return this.#onSuspicion(change, now);
  }

  /** What waits under a proven fingerprint must not be placed any more. */
  #onSuspicion(change: SuspicionChange, now: number): DispatchEffect[] {
    const { fingerprint } = change;
    const suspicion = this.quarantine.suspicionOf(fingerprint);
    if (suspicion === Suspicion.Clear) return [];
    this.#placement.onSuspect(fingerprint);
    if (suspicion !== Suspicion.Proven) return [];
    const waiting = [...this.#flights.values()].filter((flight) =>
      flight.targetId === undefined && flight.item.fingerprint === fingerprint
    );
    return waiting.map((flight) => {
      flight.addVerdict(Verdict.Ran);
      return this.#refuse(flight, RefusalReason.Quarantined, now);
    });
  }

  /** Places delayed retries and refuses what has passed its deadline. */
  tick(now: number): DispatchEffect[] {
    for (const flight of [...this.#delayed]) {
      if (flight.notBefore > now) continue;
      this.#delayed.delete(flight);
      this.getPool(flight.item.pool).add(flight.item, now, { isRetry: true });
    }
    return [
      ...this.#refuseOverdue(now),
      ...this.#refuseWithoutTarget(now),
      ...this.#pumpAll([...this.#pools.keys()], now),
    ];
  }

  #refusalOf(item: WorkItem, now: number): DispatchEffect | undefined {
    if (this.#isClosed) {
      return refusal(item, RefusalReason.ShuttingDown, NO_TARGET_RETRY_MS);
    }
    const suspicion = this.quarantine.suspicionOf(item.fingerprint);
    if (suspicion === Suspicion.Proven) {
      return {
        type: "refuse",
        item,
        reason: RefusalReason.Quarantined,
        verdict: Verdict.Ran,
      };
    }
    if (item.kind === WorkKind.Sample) return undefined;
    return this.#refusalByLoad(item, now) ?? this.#refusalByLimit(item, now);
  }

  #refusalByLoad(item: WorkItem, now: number): DispatchEffect | undefined {
    if (!this.#hasTargetFor(item.pool)) {
      return refusal(item, RefusalReason.NoTarget, NO_TARGET_RETRY_MS);
    }
    const pool = this.getPool(item.pool);
    const limits = this.#options.getLimits(item.workspace);
    const queued = pool.queue.sizeOf(item.workspace);
    const waitMs = pool.expectedWaitMs(item, now);
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(100, waitMs));
    if (queued >= (limits.queue ?? DEFAULT_QUEUE_LENGTH)) {
      return refusal(item, RefusalReason.QueueFull, retryAfterMs);
    }
    if (waitMs <= pool.allowedWaitMs(item, now)) return undefined;
    return refusal(item, RefusalReason.DeadlineUnreachable, retryAfterMs);
  }

  #refusalByLimit(item: WorkItem, now: number): DispatchEffect | undefined {
    const limits = this.#limitsOf(item.workspace);
    const found = limits.admit(item.tokens, now);
    if (found === undefined) return undefined;
    return refusal(item, found.reason, found.retryAfterMs);
  }

  #pumpAll(pools: readonly string[], now: number): DispatchEffect[] {
    return pools.flatMap((pool) => this.#pump(pool, now));
  }

  #pump(poolId: string, now: number): DispatchEffect[] {
    const pool = this.getPool(poolId);
    const effects: DispatchEffect[] = [];
    while (pool.queue.size > 0) {
      const withRoom = [...this.targets.inPool(poolId)]
        .filter((target) => target.hasRoom(now));
      if (withRoom.length === 0 && !this.#placement.hasReservations) break;
      const effect = this.#placeNext(pool, withRoom, now);
      if (effect === undefined) break;
      effects.push(effect);
    }
    this.#placement.reserveForSuspect(this.#waitingIn(pool), now);
    return effects;
  }

  #placeNext(
    pool: Pool,
    withRoom: readonly Target[],
    now: number,
  ): DispatchEffect | undefined {
    const item = pool.take((entry) => {
      const flight = this.#flights.get(entry.id);
      return flight !== undefined &&
        this.#placement.candidates(flight, withRoom).length > 0;
    }, now);
    const flight = this.#flights.get(item?.id ?? "");
    if (item === undefined || flight === undefined) return undefined;
    const target = this.#placement.pick(flight, withRoom, now);
    const wait = { waitMs: pool.drainMs, now };
    const isPlaced = target !== undefined &&
      !this.#placement.isWorthWaiting(flight, target, wait);
    if (isPlaced) return this.#start(flight, target, now);
    pool.add(item, now, { isRetry: true });
    return undefined;
  }

  *#waitingIn(pool: Pool): IterableIterator<Flight> {
    for (const item of pool.queue.entries()) {
      const flight = this.#flights.get(item.id);
      if (flight !== undefined) yield flight;
    }
  }

  #start(
    flight: Flight,
    target: Target,
    now: number,
  ): DispatchEffect {
    this.#placement.onStart(flight, target, now);
    return {
      type: "start",
      item: flight.item,
      targetId: target.id,
      attempt: flight.attempts,
      firstTokenTimeoutMs: this.#firstTokenTimeout(flight, now),
    };
  }

  #firstTokenTimeout(flight: Flight, now: number): number | undefined {
    if (flight.attempts >= flight.item.maxAttempts) return undefined;
    if (!flight.item.idempotent) return undefined;
    for (const other of this.targets.inPool(flight.item.pool)) {
      if (other.id === flight.targetId || !other.isUsable(now)) continue;
      return flight.item.firstTokenTimeoutMs;
    }
    return undefined;
  }

  #endAttempt(
    flight: Flight,
    outcome: AttemptOutcome,
    context: { target: Target | undefined; now: number },
  ): DispatchEffect[] {
    const { target, now } = context;
    if (outcome.type === "completed") {
      return this.#complete(flight, outcome.tokens, context);
    }
    if (outcome.type === "cancelled") {
      this.#placement.onLeft(flight, { isWhole: false, now });
      this.#end(flight, { tokens: 0, now });
      return [];
    }
    if (outcome.isOverload) target?.onOverload(now);
    else if (outcome.isTargetFault) target?.onFailure(now);
    flight.failedTargets.add(flight.targetId ?? "");
    this.#placement.onLeft(flight, { isWhole: false, now });
    return this.#retryOrRefuse(flight, outcome, now);
  }

  #complete(
    flight: Flight,
    tokens: number,
    context: { target: Target | undefined; now: number },
  ): DispatchEffect[] {
    const { target, now } = context;
    const durationMs = now - flight.startedAt;
    target?.onSuccess({ tokens, durationMs });
    this.#placement.onLeft(flight, { isWhole: true, now });
    const pool = this.getPool(flight.item.pool).onTokens(tokens, now);
    pool.times.add(durationMs);
    const { workspace } = flight.item;
    this.#budgets.onSuccess({ workspace, targetId: target?.id ?? "" });
    this.#end(flight, { tokens, now });
    const change = this.quarantine.onFinished(flight.item.fingerprint);
    return change === undefined ? [] : [{ type: "suspect", change }];
  }

  #retryOrRefuse(
    flight: Flight,
    outcome: FailedOutcome,
    now: number,
  ): DispatchEffect[] {
    const { item } = flight;
    flight.addVerdict(outcome.verdict);
    if (this.quarantine.suspicionOf(item.fingerprint) === Suspicion.Proven) {
      flight.addVerdict(Verdict.Ran);
      return [this.#refuse(flight, RefusalReason.Quarantined, now)];
    }
    const decision = decideRetry({
      verdict: flight.verdict,
      idempotent: item.idempotent,
      hasAnswered: outcome.hasAnswered,
      attempts: flight.attempts,
      maxAttempts: item.maxAttempts,
    });
    if (!isRetry(decision)) return [this.#refuse(flight, outcome.reason, now)];
    const isFree = item.kind === WorkKind.Sample;
    const targetId = [...flight.failedTargets].at(-1) ?? "";
    const owners = { workspace: item.workspace, targetId };
    if (!isFree && !this.#budgets.trySpend(owners)) {
      const reason = RefusalReason.RetryBudgetSpent;
      return [this.#refuse(flight, reason, now)];
    }
    const delayMs = backoffMs(flight.attempts, this.#options.random());
    flight.notBefore = now + Math.max(delayMs, outcome.retryAfterMs ?? 0);
    this.#delayed.add(flight);
    return [{ type: "retry", item, reason: outcome.reason, decision }];
  }

  #refuseOverdue(now: number): DispatchEffect[] {
    const effects: DispatchEffect[] = [];
    while ((this.#deadlines.peek()?.item.deadline ?? Infinity) <= now) {
      const flight = this.#deadlines.pop();
      if (flight === undefined) break;
      const isWaiting = this.#flights.get(flight.item.id) === flight &&
        flight.targetId === undefined;
      if (!isWaiting) continue;
      effects.push(this.#refuse(flight, RefusalReason.DeadlinePassed, now));
    }
    return effects;
  }

  #refuseWithoutTarget(now: number): DispatchEffect[] {
    const effects: DispatchEffect[] = [];
    for (const [poolId, pool] of this.#pools) {
      if (pool.queue.size === 0 || this.#hasTargetFor(poolId)) continue;
      for (const item of [...pool.queue.entries()]) {
        const flight = this.#flights.get(item.id);
        if (flight === undefined || item.kind === WorkKind.Sample) continue;
        if (now - flight.arrivedAt < NO_TARGET_WAIT_MS) continue;
        effects.push(this.#refuse(flight, RefusalReason.NoTarget, now));
      }
    }
    return effects;
  }

  #hasTargetFor(poolId: string): boolean {
    for (const target of this.targets.inPool(poolId)) {
      if (target.isExpectedBack()) return true;
    }
    return false;
  }

  #refuse(
    flight: Flight,
    reason: RefusalReason,
    now: number,
  ): DispatchEffect {
    this.getPool(flight.item.pool).remove(flight.item, now);
    this.#end(flight, { tokens: 0, now });
    return {
      type: "refuse",
      item: flight.item,
      reason,
      verdict: flight.verdict,
      retryAfterMs: NO_TARGET_RETRY_MS,
    };
  }

  #end(flight: Flight, options: { tokens: number; now: number }): void {
    const { item } = flight;
    this.#placement.unreserve(item.id);
    this.#flights.delete(item.id);
    this.#delayed.delete(flight);
    this.getPool(item.pool).queue.correct(
      item.workspace,
      item.cost * flight.attempts,
      options.tokens,
    );
    if (item.kind === WorkKind.Sample) return;
    this.#limitsOf(item.workspace)
      .release(item.tokens, options.tokens, options.now);
  }

  #limitsOf(workspace: string): WorkspaceLimits {
    let limits = this.#limits.get(workspace);
    if (limits !== undefined) return limits;
    const settings = this.#options.getLimits(workspace);
    limits = new WorkspaceLimits(settings, this.#share());
    this.#limits.set(workspace, limits);
    return limits;
  }

  #share(): { share: number } {
    return { share: this.#options.limitShare?.() ?? 1 };
  }
}

function refusal(
  item: WorkItem,
  reason: RefusalReason,
  retryAfterMs: number,
): DispatchEffect {
  return {
    type: "refuse",
    item,
    reason,
    verdict: Verdict.NotRun,
    retryAfterMs,
  };
}

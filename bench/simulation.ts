/** Runs the product's dispatcher against simulated engines in virtual time. */
import {
  type AttemptOutcome,
  type DispatchEffect,
  Dispatcher,
  type WorkItem,
} from "../src/core/dispatch/mod.ts";
import type { LimitSettings } from "../src/core/configuration/mod.ts";
import { TargetEvent } from "../src/core/routing/mod.ts";
import type { RefusalReason, Verdict } from "../src/core/verdict/mod.ts";
import { Scheduler } from "../sim/scheduler.ts";
import {
  EngineModel,
  type EngineModelOptions,
  type EngineOutcome,
} from "./engine_model.ts";
import type { Policy } from "./policies.ts";

/** Options of {@link Simulation}. */
export interface SimulationOptions {
  /** Seed of all random draws. */
  readonly seed: number;
  readonly policy: Policy;
  /** Weights of workspaces; 1 if absent. */
  readonly weights?: Readonly<Record<string, number>>;
  /** Limits of each workspace. */
  readonly limits?: LimitSettings;
  /** Delay of load reports, in milliseconds. */
  readonly loadLagMs?: number;
  /** Zones whose engines may be reclaimed. */
  readonly spotZones?: readonly string[];
}

/** Outcome of a work item. */
export type WorkOutcome =
  | (Extract<EngineOutcome, { type: "completed" }> & {
    readonly targetId: string;
  })
  | {
    readonly type: "refused";
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
  };

/** A work item and its behaviour on an engine. */
export interface Work {
  /** Item to submit to the dispatcher. */
  readonly item: WorkItem;
  /** Tokens that the engine generates; the item holds only an estimate. */
  readonly tokens: number;
  /** Whether the work crashes the engine that runs it. */
  readonly isPoison?: boolean;
  /** Called at the start of each attempt. */
  readonly onPlaced?: (targetId: string) => void;
  /** Called once with the outcome, unless the work is cancelled. */
  readonly onEnd: (outcome: WorkOutcome) => void;
}

interface ActiveWork {
  readonly work: Work;
  attempt: number;
  targetId: string | undefined;
}

/** Default options of the simulated engines. */
export const ENGINE_DEFAULTS: Omit<
  EngineModelOptions,
  "id" | "zone" | "scheduler"
> = {
  msPerToken: 8,
  maxBatch: 32,
  batchKnee: 32,
  prefillTokenCost: 0.03,
  cacheTokens: 20_000,
};

/** Pool, route and model that every engine serves. */
export const POOL = "model";
const CACHE_EVENT_LAG_MS = 300;
/** Fraction of the cache events that are lost. */
const CACHE_EVENT_LOSS = 0.02;
const TICK_INTERVAL_MS = 25;
const LOAD_REPORT_INTERVAL_MS = 500;
const DEFAULT_LOAD_LAG_MS = 200;
/** Time from the start of poison work until its engine crashes. */
const CRASH_AFTER_MS = 30;
const RESTART_MS = 15_000;

/** Runs work on simulated engines, placed by the product's dispatcher. */
export class Simulation {
  /** Source of virtual time and of random numbers. */
  readonly scheduler: Scheduler;
  /** Dispatcher under test. */
  readonly dispatcher: Dispatcher;
  /** Engines, by identifier. */
  readonly engines = new Map<string, EngineModel>();
  /** Descriptions of the invariants that were violated. */
  readonly violations: string[] = [];
  /** Number of engine crashes caused by poison work. */
  poisonCrashes = 0;
  readonly #options: SimulationOptions;
  readonly #active = new Map<string, ActiveWork>();
  readonly #startCounts = new Map<string, number>();
  readonly #evictionSequences = new Map<string, number>();
  readonly #leftAt = new Map<string, number>();

  /** Creates a simulation without engines. */
  constructor(options: SimulationOptions) {
    const { seed, policy, weights = {}, limits = {}, spotZones = [] } = options;
    this.#options = options;
    this.scheduler = new Scheduler(seed);
    this.dispatcher = new Dispatcher({
      picker: policy.createPicker(seed),
      random: this.scheduler.random,
      getWeight: (workspace) => weights[workspace] ?? 1,
      getLimits: () => limits,
      isLasting: (target) => !spotZones.includes(target.announcement.zone),
      window: policy.window,
      waitsForFaster: policy.usesDeadlines,
    });
    this.#every(
      TICK_INTERVAL_MS,
      () => this.#apply(this.dispatcher.tick(this.now)),
    );
    this.#every(LOAD_REPORT_INTERVAL_MS, () => this.#reportLoad());
  }

  /** Gets the virtual time, in milliseconds. */
  get now(): number {
    return this.scheduler.now;
  }

  get policy(): Policy {
    return this.#options.policy;
  }

  /** Adds an engine and announces it to the dispatcher. */
  addEngine(
    id: string,
    overrides: Partial<EngineModelOptions> = {},
  ): EngineModel {
    const engine = new EngineModel({
      ...ENGINE_DEFAULTS,
      zone: "z",
      ...overrides,
      id,
      scheduler: this.scheduler,
      onEvicted: (prefix) => this.#onPrefixEvicted(id, prefix),
    });
    this.engines.set(id, engine);
    this.announce(engine);
    return engine;
  }

  /** Reports an eviction to the dispatcher; late, and sometimes not at all. */
  #onPrefixEvicted(targetId: string, prefix: string): void {
    const sequence = (this.#evictionSequences.get(targetId) ?? 0) + 1;
    this.#evictionSequences.set(targetId, sequence);
    if (this.scheduler.random() < CACHE_EVENT_LOSS) return;
    this.scheduler.after(CACHE_EVENT_LAG_MS, () => {
      this.dispatcher.onEvicted(prefix, { targetId, sequence });
    });
  }

  /** Announces an engine and the version of its weights. */
  announce(engine: EngineModel): void {
    this.#apply(this.dispatcher.announce({
      id: engine.id,
      incarnation: String(engine.incarnation),
      url: `http://${engine.id}`,
      pools: [POOL],
      zone: engine.zone,
      weightVersion: engine.version,
    }, this.now));
  }

  /** Submits work, without the workspace or deadline if the policy has none. */
  submit(work: Work): void {
    const { item } = work;
    this.#active.set(item.id, { work, attempt: 0, targetId: undefined });
    const isFifo = !this.policy.isFair;
    const queuedItem = isFifo ? { ...item, workspace: "all" } : item;
    const submittedItem = this.policy.usesDeadlines
      ? queuedItem
      : { ...queuedItem, deadline: Infinity };
    this.#apply(this.dispatcher.submit(submittedItem, this.now));
  }

  /** Cancels work; its `onEnd` is not called. */
  cancel(id: string): void {
    const active = this.#active.get(id);
    if (active === undefined) return;
    this.#active.delete(id);
    this.dispatcher.cancel(id, this.now);
    if (active.targetId === undefined) return;
    this.engines.get(active.targetId)?.cancel(id);
  }

  /** Crashes an engine; it restarts after a delay if `restarts` is true. */
  crash(engine: EngineModel, options: { restarts: boolean }): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    this.#apply(this.dispatcher.targetDied(engine.id, this.now));
    engine.crash();
    if (!options.restarts) {
      this.dispatcher.removeTarget(engine.id);
      return;
    }
    this.scheduler.after(RESTART_MS, () => {
      engine.restart();
      this.announce(engine);
    });
  }

  /** Marks an engine as leaving, so that it gets no new work. */
  leave(engine: EngineModel): void {
    this.dispatcher.markLeaving(engine.id);
    this.#leftAt.set(engine.id, this.now);
  }

  /** Pauses an engine for `loadMs` to load a version of the weights. */
  swapWeights(
    engine: EngineModel,
    options: { version: number; loadMs: number; onEnd: () => void },
  ): void {
    const { id } = engine;
    const send = (event: TargetEvent) =>
      this.#apply(this.dispatcher.sendTargetEvent(id, event, this.now));
    send(TargetEvent.SwapStart);
    engine.pause();
    this.scheduler.after(options.loadMs, () => {
      if (engine.isUp) {
        engine.resume(options.version);
        this.announce(engine);
        send(TargetEvent.SwapEnd);
      }
      options.onEnd();
    });
  }

  /** Runs a function at a fixed interval until the simulation ends. */
  every(intervalMs: number, run: () => void): void {
    this.#every(intervalMs, run);
  }

  #every(intervalMs: number, run: () => void): void {
    this.scheduler.after(intervalMs, () => {
      run();
      this.#every(intervalMs, run);
    });
  }

  #reportLoad(): void {
    const lagMs = this.#options.loadLagMs ?? DEFAULT_LOAD_LAG_MS;
    for (const engine of this.engines.values()) {
      if (!engine.isUp) continue;
      const report = { ...engine.load, at: this.now };
      if (this.policy.reportsProgress) {
        for (const { id, tokens } of engine.progress()) {
          this.dispatcher.onProgress(id, tokens, this.now);
        }
      }
      this.scheduler.after(lagMs, () =>
        this.#apply(
          this.dispatcher.onLoadReport(engine.id, report, this.now),
        ));
    }
  }

  #apply(effects: readonly DispatchEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "start") this.#startWork(effect);
      else if (effect.type === "refuse") {
        const { reason, verdict } = effect;
        this.#endWork(effect.item.id, { type: "refused", reason, verdict });
      }
    }
  }

  #startWork(effect: Extract<DispatchEffect, { type: "start" }>): void {
    const { item, targetId, attempt } = effect;
    const active = this.#active.get(item.id);
    const engine = this.engines.get(targetId);
    if (active === undefined || engine === undefined) return;
    active.targetId = targetId;
    active.attempt = attempt;
    this.#checkStart(item, targetId);
    active.work.onPlaced?.(targetId);
    engine.submit({
      id: item.id,
      prefix: item.prefix,
      prefixTokens: item.prefixTokens,
      tokens: active.work.tokens,
      onEnd: (outcome) =>
        this.#onEngineOutcome(item, { targetId, attempt, outcome }),
    });
    if (!active.work.isPoison) return;
    this.scheduler.after(CRASH_AFTER_MS, () => {
      if (active.attempt !== attempt || !engine.isUp) return;
      this.poisonCrashes += 1;
      this.crash(engine, { restarts: true });
    });
  }

  /**
   * Checks that non-idempotent work starts only once, and that no work starts
   * on an engine more than 2 s after it began to leave.
   */
  #checkStart(item: WorkItem, targetId: string): void {
    const startCount = (this.#startCounts.get(item.id) ?? 0) + 1;
    this.#startCounts.set(item.id, startCount);
    if (startCount > 1 && !item.idempotent) {
      this.violations.push(`Non-idempotent ${item.id} ran ${startCount} times`);
    }
    const leftAt = this.#leftAt.get(targetId);
    if (leftAt !== undefined && this.now - leftAt > 2_000) {
      this.violations.push(`Work on ${targetId} after it left`);
    }
  }

  #onEngineOutcome(
    item: WorkItem,
    engineRun: { targetId: string; attempt: number; outcome: EngineOutcome },
  ): void {
    const active = this.#active.get(item.id);
    if (active === undefined || active.attempt !== engineRun.attempt) return;
    active.targetId = undefined;
    if (engineRun.outcome.type === "lost") {
      this.#apply(this.dispatcher.finish(item.id, LOST_ATTEMPT, this.now));
      return;
    }
    const { tokens } = active.work;
    const { targetId, outcome } = engineRun;
    this.#endWork(item.id, { ...outcome, targetId });
    const attemptOutcome: AttemptOutcome = { type: "completed", tokens };
    this.#apply(this.dispatcher.finish(item.id, attemptOutcome, this.now));
  }

  #endWork(id: string, outcome: WorkOutcome): void {
    const active = this.#active.get(id);
    if (active === undefined) return;
    this.#active.delete(id);
    active.work.onEnd(outcome);
  }
}

const LOST_ATTEMPT: AttemptOutcome = {
  type: "failed",
  reason: "answerTruncated",
  verdict: "mayHaveRun",
  hasResponded: false,
  isOverload: false,
  isTargetFault: true,
};

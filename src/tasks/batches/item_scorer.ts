/** Scores the complete texts of items by calls to a service. */
import type {
  BatchItem,
  BatchRecord,
  BatchState,
  ScoringCall,
} from "../../core/batches/mod.ts";
import { type CallResponse, LatencyTracker } from "../../core/calls/mod.ts";
import {
  homesOf,
  type PolicyView,
  type RoutePolicy,
  sendableSharesOf,
} from "../../core/policy/mod.ts";
import type {
  TargetRegistry,
  TargetReport,
  TargetSigns,
} from "../../core/registry/mod.ts";
import { ScoringDecision, ScoringQueue } from "../../core/scoring/mod.ts";
import { RefusalError } from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import {
  CallRun,
  NO_CRASH_GUARD,
  type RateGuard,
  type TargetPort,
} from "../calls/mod.ts";
import { checkBatch } from "./batch_check.ts";
import { MissingItems } from "./missing_items.ts";
import { itemKeyOf } from "./run_table.ts";

/** Connections and policy by which scoring calls are sent. */
export interface ScoringPort {
  readonly targets: TargetPort;
  /** Gets the policy in force; undefined before the first. */
  readonly policy: () => PolicyView | undefined;
  /** Gets the score of a response; undefined if it has none. */
  readonly scoreOf: (response: CallResponse) => string | undefined;
}

/** Options of {@link ItemScorer}. */
export interface ItemScorerOptions {
  readonly port: ScoringPort;
  readonly state: () => BatchState;
  readonly registry: TargetRegistry;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  readonly rates: RateGuard;
  /** Gets whether this replica may run items. */
  readonly canRunItems: () => boolean;
  /** Gets whether this replica leads under its lease. */
  readonly holdsLease: () => boolean;
  /** Gets whether a result of an item is being written to the ledger. */
  readonly isBeingStored: (key: string) => boolean;
  readonly onSigns: (target: TargetReport, signs: TargetSigns) => void;
  /** Called with the score of an item, or undefined if it is given up. */
  readonly onEnded: (scored: ScoredItem, score: string | undefined) => void;
}

/** An item whose output is complete. */
export interface ScoredItem {
  readonly record: BatchRecord;
  readonly item: BatchItem;
}

interface CallEnd {
  readonly score: string | undefined;
  readonly failures: number;
  readonly detail: string;
}

/** Share of the slots of a service that scoring calls may use. */
const SLOTS_SHARE = 0.5;

/**
 * Sends the scoring calls of all items whose complete output is stored. It keeps
 * nothing that a new leader would miss: the items are found in the ledger.
 */
export class ItemScorer {
  readonly #options: ItemScorerOptions;
  readonly #queue = new ScoringQueue();
  readonly #items = new Map<string, ScoredItem>();
  readonly #calls = new Map<string, AbortController>();
  readonly #latencies = new LatencyTracker();

  constructor(options: ItemScorerOptions) {
    this.#options = options;
  }

  /** Cancels all calls and forgets all items. */
  stop(): void {
    for (const key of [...this.#items.keys()]) this.#forget(key);
    this.#queue.clear();
  }

  /** Cancels the call of an item that needs no score any more. */
  cancel(batch: string, item: string): void {
    this.#forget(itemKeyOf(batch, item));
  }

  /** Cancels the calls of a batch that has ended. */
  onBatchEnded(batch: string): void {
    for (const { record, item } of [...this.#items.values()]) {
      if (record.spec.id === batch) this.cancel(batch, item.id);
    }
  }

  /** Cancels the calls in flight; their items wait for another one. */
  cancelCalls(): void {
    for (const [key, abort] of [...this.#calls]) {
      abort.abort();
      this.#calls.delete(key);
      this.#queue.onUnscored(key, { failures: 0 }, performance.now());
    }
  }

  /** Drops the latencies and connections of removed targets. */
  onTargetsChanged(present: readonly TargetReport[]): void {
    this.#latencies.keepOnly(new Set(present.map(({ id }) => id)));
    this.#options.port.targets
      .closeIdleExcept(new Set(present.map(({ address }) => address)));
  }

  /** Sends the calls that are due, if this replica may run items. */
  run(): void {
    if (!this.#options.canRunItems()) return;
    this.#addItems();
    const groups = new MissingItems();
    const due = this.#queue.takeDue({
      now: performance.now(),
      limitOf: (route) => this.#limitOf(route),
      missingOf: (key) => groups.countOf(this.#items.get(key)!),
    });
    for (const { key } of due) {
      this.#score(key).catch((err) => this.#options.logger.error(err));
    }
  }

  #addItems(): void {
    const { state, isBeingStored } = this.#options;
    for (const record of state().all) {
      if (!record.isOpen) continue;
      for (const [id, text] of record.partialTexts) {
        const key = itemKeyOf(record.spec.id, id);
        const isKnown = this.#items.has(key) || isBeingStored(key);
        if (text.isComplete && !isKnown) this.#add(key, record, id);
      }
    }
  }

  #add(key: string, record: BatchRecord, id: string): void {
    const item = record.getItem(id);
    const route = item?.scoring && this.#findRoute(item.scoring);
    if (item === undefined || route === undefined) return;
    const { acceptedAt, objectiveMs } = record.spec;
    this.#items.set(key, { record, item });
    this.#queue.add({
      key,
      route: route.name,
      dueAt: acceptedAt + objectiveMs,
      maxFailures: route.maxAttempts,
    });
  }

  #findRoute({ host, path }: ScoringCall): RoutePolicy | undefined {
    return this.#options.port.policy()?.findRoute(host, path);
  }

  /** Leaves a share of the slots to the calls of others. */
  #limitOf(routeName: string): number {
    const { registry, port } = this.#options;
    const route = port.policy()?.document.routes
      .find(({ name }) => name === routeName);
    if (route === undefined) return 0;
    const slots = sendableSharesOf(route)
      .flatMap(({ service }) => registry.readyOf(service))
      .map(({ report }) => Math.max(1, report.slots * SLOTS_SHARE));
    return Math.floor(slots.reduce((sum, count) => sum + count, 0));
  }

  async #score(key: string): Promise<void> {
    const scored = this.#items.get(key);
    const scoring = scored?.item.scoring;
    if (scored === undefined || scoring === undefined) return;
    const abort = new AbortController();
    this.#calls.set(key, abort);
    const end = await this.#call(scored, scoring, abort.signal);
    if (abort.signal.aborted) return;
    this.#calls.delete(key);
    this.#log(scored, end);
    if (end.score !== undefined) {
      this.#end(key, scored, end.score);
      return;
    }
    const decision = this.#queue.onUnscored(key, end, performance.now());
    if (decision === ScoringDecision.GiveUp) this.#end(key, scored, undefined);
  }

  async #call(
    { record }: ScoredItem,
    scoring: ScoringCall,
    signal: AbortSignal,
  ): Promise<CallEnd> {
    const { port, holdsLease } = this.#options;
    const { spec } = record;
    const policy = port.policy();
    const route = this.#findRoute(scoring);
    if (policy === undefined || route === undefined) {
      return { score: undefined, failures: 0, detail: "Route unknown" };
    }
    const run = new CallRun(this.#callDependencies, {
      call: {
        ...scoring,
        method: "POST",
        headers: [],
        key: undefined,
        timeoutMs: spec.acceptedAt + spec.giveUpMs - Date.now(),
      },
      admission: {
        route,
        workspace: undefined,
        policy,
        guard: () => checkBatch(record, holdsLease),
      },
      homes: homesOf(route, policy.getWorkspace(spec.workspace)),
      signal,
      stream: undefined,
    });
    try {
      const response = await run.run();
      const score = port.scoreOf(response);
      const detail = `Status ${response.status}`;
      return { score, failures: run.failedResponses, detail };
    } catch (err) {
      if (!(err instanceof RefusalError)) this.#options.logger.error(err);
      const detail = (err as Error).message;
      return { score: undefined, failures: run.failedResponses, detail };
    }
  }

  get #callDependencies() {
    const { port, registry, rates, logger, metrics, dataCentre, onSigns } =
      this.#options;
    return {
      targets: port.targets,
      registry,
      latencies: this.#latencies,
      // Items are owed whatever happens to the targets that score them.
      crashes: NO_CRASH_GUARD,
      rates,
      logger,
      metrics,
      dataCentre,
      onSigns,
      // Scoring calls belong to no workspace: no usage is counted for them, and
      // no key of theirs can be withdrawn.
      onFirstRun: () => {},
      awaitLease: () => Promise.resolve(true),
    };
  }

  #end(key: string, scored: ScoredItem, score: string | undefined): void {
    this.#forget(key);
    this.#options.onEnded(scored, score);
    this.run();
  }

  #forget(key: string): void {
    this.#calls.get(key)?.abort();
    this.#calls.delete(key);
    this.#items.delete(key);
    this.#queue.remove(key);
  }

  #log({ record, item }: ScoredItem, end: CallEnd): void {
    const { logger, metrics } = this.#options;
    const isScored = end.score !== undefined;
    metrics.count(isScored ? "items.scored" : "items.unscored");
    logger.event(isScored ? "itemScored" : "itemUnscored", {
      batch: record.spec.id,
      item: item.id,
      request: item.scoring?.id,
      failures: end.failures,
      detail: end.detail,
    });
  }
}

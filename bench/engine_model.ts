/** Simulated engine with continuous batching and a prefix cache. */
import { LRUCache } from "lru-cache";
import type { Scheduler } from "../sim/scheduler.ts";

/** Options of {@link EngineModel}. */
export interface EngineModelOptions {
  readonly id: string;
  readonly zone: string;
  /** Time per token of a request that runs alone, in milliseconds. */
  readonly msPerToken: number;
  /** Maximum of concurrent requests; others wait in the engine's queue. */
  readonly maxBatch: number;
  /** Number of concurrent requests at which the time per token doubles. */
  readonly batchKnee: number;
  /** Cost of an uncached prompt token, in generated tokens. */
  readonly prefillTokenCost: number;
  /** Capacity of the prefix cache, in prompt tokens. */
  readonly cacheTokens: number;
  /** Source of virtual time. */
  readonly scheduler: Scheduler;
  /** Called with each prefix that the cache evicts. */
  readonly onEvicted?: (prefix: string) => void;
}

/** A request to an engine. */
export interface EngineRequest {
  readonly id: string;
  /** Prompt tokens that a cached prefix saves. */
  readonly prefixTokens: number;
  /** Cache key of the prompt prefix. */
  readonly prefix?: string;
  /** Number of tokens to generate. */
  readonly tokens: number;
  /** Called once when the request completes or is lost. */
  readonly onEnd: (outcome: EngineOutcome) => void;
}

/** Outcome of a request; `lost` if the engine crashed. */
export type EngineOutcome =
  | {
    readonly type: "completed";
    /** Weight versions that generated tokens, in ascending order. */
    readonly versions: readonly number[];
    readonly firstTokenAt: number;
  }
  | { readonly type: "lost" };

interface RunningRequest {
  readonly request: EngineRequest;
  /** Tokens to generate, including the prefill cost in generated tokens. */
  remainingTokens: number;
  readonly versions: Set<number>;
  readonly startedAt: number;
}

/** Generates tokens in virtual time. */
export class EngineModel {
  readonly #options: EngineModelOptions;
  readonly #cache: LRUCache<string, number>;
  #running: RunningRequest[] = [];
  #waiting: EngineRequest[] = [];
  #advancedAt = 0;
  #planRevision = 0;
  #isPaused = false;
  #version = 1;
  /** Whether the process runs. */
  isUp = true;
  /** Number of starts of the process. */
  incarnation = 1;
  /** Prompt tokens found in the cache. */
  cachedTokens = 0;
  /** Prompt tokens looked up in the cache. */
  promptTokens = 0;
  /** Tokens generated, including the prefill cost. */
  generatedTokens = 0;

  /** Creates a running engine without requests. */
  constructor(options: EngineModelOptions) {
    this.#options = options;
    this.#cache = new LRUCache({
      maxSize: Math.max(1, options.cacheTokens),
      sizeCalculation: (tokens) => tokens,
      dispose: (_tokens, prefix, reason) => {
        if (reason === "evict") options.onEvicted?.(prefix);
      },
    });
  }

  get id(): string {
    return this.#options.id;
  }

  get zone(): string {
    return this.#options.zone;
  }

  /** Gets the version of the loaded weights. */
  get version(): number {
    return this.#version;
  }

  /** Gets the numbers of running and waiting requests. */
  get load(): { running: number; waiting: number } {
    return { running: this.#running.length, waiting: this.#waiting.length };
  }

  /** Gets the throughput of a full batch, in tokens per second. */
  get capacity(): number {
    const { maxBatch, msPerToken, batchKnee } = this.#options;
    return maxBatch * 1_000 / (msPerToken * (1 + maxBatch / batchKnee));
  }

  /** Queues a request; it is lost at once if the process is down. */
  submit(request: EngineRequest): void {
    if (!this.isUp) {
      request.onEnd({ type: "lost" });
      return;
    }
    this.#advance();
    this.#waiting.push(request);
    this.#admit();
    this.#planCompletion();
  }

  /** Gets the number of tokens that each running request has generated. */
  progress(): { readonly id: string; readonly tokens: number }[] {
    this.#advance();
    return this.#running.map(({ request, remainingTokens }) => ({
      id: request.id,
      tokens: Math.max(0, request.tokens - remainingTokens),
    }));
  }

  /** Removes a request without calling its `onEnd`. */
  cancel(id: string): void {
    this.#advance();
    this.#running = this.#running.filter((r) => r.request.id !== id);
    this.#waiting = this.#waiting.filter((r) => r.id !== id);
    this.#admit();
    this.#planCompletion();
  }

  /** Stops the process and ends all its requests as lost. */
  crash(): void {
    this.#advance();
    const lost = [...this.#running.map((r) => r.request), ...this.#waiting];
    this.#running = [];
    this.#waiting = [];
    this.#cache.clear();
    this.isUp = false;
    this.#planRevision += 1;
    for (const request of lost) request.onEnd({ type: "lost" });
  }

  /** Restarts the process as the next incarnation. */
  restart(): void {
    this.isUp = true;
    this.incarnation += 1;
    this.#isPaused = false;
  }

  /** Stops generating while new weights are loaded. */
  pause(): void {
    this.#advance();
    this.#isPaused = true;
    this.#planCompletion();
  }

  /** Resumes generating with a version of the weights and an empty cache. */
  resume(version: number): void {
    this.#advance();
    this.#isPaused = false;
    this.#version = version;
    this.#cache.clear();
    for (const r of this.#running) r.versions.add(version);
    this.#planCompletion();
  }

  /** Gets the current generation rate of each running request. */
  #tokensPerMs(): number {
    if (this.#isPaused) return 0;
    const { msPerToken, batchKnee } = this.#options;
    return 1 / (msPerToken * (1 + this.#running.length / batchKnee));
  }

  /** Accounts for the tokens generated since the last call. */
  #advance(): void {
    const { now } = this.#options.scheduler;
    const generated = (now - this.#advancedAt) * this.#tokensPerMs();
    this.#advancedAt = now;
    for (const r of this.#running) {
      r.remainingTokens -= generated;
      this.generatedTokens += generated;
    }
  }

  #admit(): void {
    const { maxBatch, prefillTokenCost, scheduler } = this.#options;
    while (this.#running.length < maxBatch) {
      const request = this.#waiting.shift();
      if (request === undefined) return;
      const isCached = this.#lookUpPrefix(request);
      const prefillTokens = isCached
        ? 0
        : request.prefixTokens * prefillTokenCost;
      this.#running.push({
        request,
        remainingTokens: request.tokens + prefillTokens,
        versions: new Set([this.#version]),
        startedAt: scheduler.now,
      });
    }
  }

  #lookUpPrefix(request: EngineRequest): boolean {
    const { prefix, prefixTokens } = request;
    if (prefix === undefined || prefixTokens === 0) return false;
    this.promptTokens += prefixTokens;
    const isCached = this.#cache.get(prefix) !== undefined;
    if (isCached) this.cachedTokens += prefixTokens;
    else this.#cache.set(prefix, prefixTokens);
    return isCached;
  }

  /** Schedules the next completion; a newer plan cancels an older one. */
  #planCompletion(): void {
    this.#planRevision += 1;
    const revision = this.#planRevision;
    const tokensPerMs = this.#tokensPerMs();
    if (this.#running.length === 0 || tokensPerMs === 0) return;
    const minRemaining = Math.min(
      ...this.#running.map((r) => r.remainingTokens),
    );
    this.#options.scheduler.after(
      Math.max(0, minRemaining / tokensPerMs),
      () => {
        if (revision === this.#planRevision) this.#completeRequests();
      },
    );
  }

  #completeRequests(): void {
    this.#advance();
    const completed = this.#running.filter((r) => r.remainingTokens <= 1e-6);
    this.#running = this.#running.filter((r) => r.remainingTokens > 1e-6);
    this.#admit();
    this.#planCompletion();
    for (const { request, versions, startedAt } of completed) {
      request.onEnd({
        type: "completed",
        versions: [...versions].sort((a, b) => a - b),
        firstTokenAt: startedAt,
      });
    }
  }
}

/** The jobs that wait or run, and their current attempts. */
import type { DispatchEffect } from "../../core/dispatch/mod.ts";
import type { Target } from "../../core/routing/mod.ts";
import { Exchange } from "./exchange.ts";
import type { Job, JobResult, JobSink } from "./job.ts";

/** An attempt to run a job at a target. */
export interface JobAttempt {
  readonly itemId: string;
  readonly sink: JobSink;
  readonly abort: AbortController;
  readonly exchange: Exchange;
}

interface ActiveJob {
  readonly job: Job;
  attempt: JobAttempt | undefined;
}

/** Owns the jobs of a dispatch task; each ends once. */
export class JobTable {
  readonly #jobs = new Map<string, ActiveJob>();
  readonly #credential: string | undefined;

  /** @param credential - Bearer token sent to targets; none by default. */
  constructor(credential?: string) {
    this.#credential = credential;
  }

  /** Gets the number of waiting and running jobs. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Gets the identifiers of all jobs. */
  get ids(): readonly string[] {
    return [...this.#jobs.keys()];
  }

  /** Adds a job that has no attempt yet. */
  add(job: Job): void {
    this.#jobs.set(job.item.id, { job, attempt: undefined });
  }

  /** Gets whether a job has not ended. */
  has(itemId: string): boolean {
    return this.#jobs.has(itemId);
  }

  /**
   * Creates the attempt of a job at a target, which replaces the one before.
   * @returns The attempt; undefined if the job has ended.
   */
  begin(
    effect: Extract<DispatchEffect, { type: "start" }>,
    target: Target,
  ): JobAttempt | undefined {
    const { item, targetId } = effect;
    const active = this.#jobs.get(item.id);
    if (active === undefined) return undefined;
    const { job } = active;
    const { path, method, body, timeoutMs } = job.request;
    const sink = job.createSink(targetId);
    const abort = new AbortController();
    const exchange = new Exchange({
      url: target.announcement.url.replace(/\/$/, "") + path,
      method,
      headers: this.#createHeaders(job),
      body,
      requestId: `${item.id}#${effect.attempt}`,
      timeoutMs,
      firstTokenTimeoutMs: effect.firstTokenTimeoutMs,
      signal: abort.signal,
    }, sink);
    active.attempt = { itemId: item.id, sink, abort, exchange };
    job.onPlaced?.(targetId, target.weightVersion);
    return active.attempt;
  }

  /** Gets whether an attempt is the current one of a job that has not ended. */
  isCurrent(attempt: JobAttempt): boolean {
    return this.#jobs.get(attempt.itemId)?.attempt === attempt;
  }

  /** Aborts the current attempt of a job, if it has one. */
  abort(itemId: string): void {
    this.#jobs.get(itemId)?.attempt?.abort.abort();
  }

  /**
   * Removes a job, and calls back before its owner is told.
   * @param onRemoved - Called only if the job had not ended.
   */
  end(itemId: string, result: JobResult, onRemoved: () => void): void {
    const active = this.#jobs.get(itemId);
    if (active === undefined) return;
    this.#jobs.delete(itemId);
    onRemoved();
    active.job.onEnd(result, active.attempt?.sink);
  }

  #createHeaders({ request }: Job): Record<string, string> {
    if (this.#credential === undefined) return { ...request.headers };
    const authorization = `Bearer ${this.#credential}`;
    return { ...request.headers, authorization };
  }
}

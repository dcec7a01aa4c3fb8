/** Log lines and counters of a single call. */
import type { OutputWriter } from "../../core/continuation/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";
import { ConnectionState } from "../paths/mod.ts";
import type {
  CallRunDependencies,
  CallRunOptions,
} from "./call_run_options.ts";

/** An attempt that is about to be sent. */
export interface PlacedAttempt {
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** Time left for the call, in milliseconds. */
  readonly leftMs: number;
  /** Who wrote the events that the caller holds; undefined if it holds none. */
  readonly written: OutputWriter | undefined;
  /** Number of the last of them, if it is known. */
  readonly resumeAfter: number | undefined;
}

/** Writes what happens to one call, for `explain` and for operators. */
export class CallTrace {
  readonly #dependencies: CallRunDependencies;
  readonly #options: CallRunOptions;
  /** States of the connections of the attempts, by target. */
  readonly #connections = new Map<string, () => ConnectionState>();

  constructor(dependencies: CallRunDependencies, options: CallRunOptions) {
    this.#dependencies = dependencies;
    this.#options = options;
  }

  /** Remembers the connection of an attempt. */
  onConnection(target: string, getState: () => ConnectionState): void {
    this.#connections.set(target, getState);
  }

  /** Records that the call is sent to a target. */
  placed(
    { id, software }: TargetReport,
    { attempt, leftMs, written, resumeAfter }: PlacedAttempt,
  ): void {
    const { latencies, logger, metrics } = this.#dependencies;
    const { call, admission } = this.#options;
    if (written !== undefined) metrics.count("streams.resumed");
    logger.event("callPlaced", {
      request: call.id,
      target: id,
      software,
      attempt,
      resumeAfter,
      resumedSoftware: written?.software,
      inFlight: latencies.inFlight(id),
      latencyMs: Math.round(latencies.latencyMs(id)),
      leftMs: Math.round(leftMs),
      revision: admission.policy.revision,
    });
  }

  /** Records that the call is sent to a second target beside a slow one. */
  hedged(
    slowTarget: string,
    hedge: { readonly target: string; readonly hedgeDelayMs: number },
  ): void {
    this.#dependencies.logger.event("callRetried", {
      request: this.#options.call.id,
      target: hedge.target,
      reason: "slow",
      slowTarget,
      connection: this.#connectionOf(slowTarget),
      waitedMs: Math.round(hedge.hedgeDelayMs),
    });
  }

  /** Records that an attempt has ended without a final response. */
  retried(
    target: string,
    end: {
      readonly reason: string;
      readonly leftMs: number;
      readonly fingerprint: string;
    },
  ): void {
    this.#dependencies.metrics.count("calls.retried");
    this.#dependencies.logger.event("callRetried", {
      request: this.#options.call.id,
      target,
      reason: end.reason,
      connection: this.#connectionOf(target),
      leftMs: Math.round(end.leftMs),
      fingerprint: end.fingerprint,
    });
  }

  #connectionOf(target: string): ConnectionState {
    return this.#connections.get(target)?.() ?? ConnectionState.None;
  }
}

/** Ends of batches, as requested at an entry instance. */
import { FleetRole } from "../../core/fleet/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { BatchMethod, type BatchParams } from "../batches/mod.ts";
import { settleWithin } from "../settle.ts";
import type { FleetNode } from "./fleet_node.ts";
import { type FailedAttempt, isLeaderMissing } from "./leader_client.ts";

/** Options of {@link BatchEnder}. */
export interface BatchEnderOptions {
  readonly node: Pick<FleetNode, "requestLeader" | "logger" | "metrics">;
}

/** Time after which a caller is answered though the end is not confirmed. */
const ANSWER_TIMEOUT_MS = 1_300;
/** Time for one member, so that a silent leader leaves time for another one. */
const ATTEMPT_TIMEOUT_MS = 450;
/** Pause between two rounds of attempts. */
const ROUND_PAUSE_MS = 400;
/** Time for which an end is sent again; longer than most disruptions last. */
const RETRY_PERIOD_MS = 60_000;
/** Number of unconfirmed ends that are sent again after their callers left. */
const MAX_UNCONFIRMED = 1_000;

/**
 * Ends batches at the ledger. An end is sent again until the ledger confirms
 * it, also after its caller was answered: the items of a batch would run on if
 * all attempts of the caller fell into one outage.
 */
export class BatchEnder {
  readonly #options: BatchEnderOptions;
  /** Ends in progress, by workspace and batch. */
  readonly #ends = new Map<string, Promise<void>>();

  constructor(options: BatchEnderOptions) {
    this.#options = options;
  }

  /**
   * Ends a batch.
   * @throws RefusalError if the workspace has no such batch, or, with verdict
   * `mayHaveRun`, if the ledger does not confirm the end in time.
   * @example
   * await ender.end({ workspace: "park", batch: "7c41e0" });
   */
  async end(params: BatchParams): Promise<void> {
    const confirmed = this.#getOrBegin(params);
    const { isSettled } = await settleWithin(confirmed, ANSWER_TIMEOUT_MS);
    if (isSettled) return;
    throw new RefusalError(
      RefusalReason.LedgerUnavailable,
      Verdict.MayHaveRun,
      { message: "The end is not confirmed yet; it is sent again" },
    );
  }

  /** Waits until all ends are confirmed or given up, or a time has passed. */
  async settle(timeoutMs: number): Promise<void> {
    await settleWithin(Promise.allSettled(this.#ends.values()), timeoutMs);
  }

  #getOrBegin(params: BatchParams): Promise<void> {
    const key = JSON.stringify([params.workspace, params.batch]);
    const current = this.#ends.get(key);
    if (current !== undefined) return current;
    const end = this.#sendUntilConfirmed(params)
      .finally(() => this.#ends.delete(key));
    this.#ends.set(key, end);
    // The caller may have been answered by the time at which it fails.
    end.catch(() => {});
    return end;
  }

  async #sendUntilConfirmed(params: BatchParams): Promise<void> {
    const { metrics, logger } = this.#options.node;
    const startedAt = performance.now();
    const elapsedMs = () => Math.round(performance.now() - startedAt);
    while (true) {
      const attempts: string[] = [];
      const describe = () => ({
        batch: params.batch,
        tookMs: elapsedMs(),
        attempts,
      });
      try {
        await this.#sendRound(params, attempts);
        logger.event("endConfirmed", describe());
        return;
      } catch (err) {
        const isRetried = this.#isRetried(err, elapsedMs());
        metrics.count("ends.unconfirmed");
        logger.event("endUnconfirmed", { ...describe(), isRetried });
        if (!isRetried) throw err;
      }
      await sleep(ROUND_PAUSE_MS);
    }
  }

  #isRetried(err: unknown, elapsedMs: number): boolean {
    return isLeaderMissing(err) && elapsedMs < RETRY_PERIOD_MS &&
      this.#ends.size <= MAX_UNCONFIRMED;
  }

  async #sendRound(params: BatchParams, attempts: string[]): Promise<void> {
    await this.#options.node.requestLeader(FleetRole.Ledger, BatchMethod.End, {
      params,
      timeoutMs: ANSWER_TIMEOUT_MS,
      attemptMs: ATTEMPT_TIMEOUT_MS,
      onFailed: (attempt) => attempts.push(formatAttempt(attempt)),
    });
  }
}

function formatAttempt(
  { member, reason, verdict, tookMs }: FailedAttempt,
): string {
  return `${member} ${reason} ${verdict} ${tookMs} ms`;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Ends of batches, as requested at an entry instance. */
import { FleetRole } from "../../core/fleet/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { BatchMethod, type BatchParams } from "../batches/mod.ts";
import { type CallerIdentity, requestAs } from "../calls/mod.ts";
import { delay } from "../delay.ts";
import { settleWithin } from "../settle.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { FailedAttempt } from "./leader_client.ts";

/** Request of a caller for a batch. */
export interface BatchRequest {
  /** API key of the caller; undefined if it sent none. */
  readonly key: string | undefined;
  readonly batch: string;
}

/** End of a batch with what earlier rounds have found out. */
interface PendingEnd extends BatchRequest {
  /** Undefined until the caller is identified. */
  caller: CallerIdentity | undefined;
}

/** An end that is sent again, until its retries have settled. */
interface UnconfirmedEnd {
  readonly pending: PendingEnd;
  readonly retries: Promise<void>;
}

/** Options of {@link BatchEnder}. */
export interface BatchEnderOptions {
  readonly node: Pick<FleetNode, "requestLeader" | "logger" | "metrics">;
  /**
   * Identifies a caller.
   * @throws RefusalError if keys cannot be checked now.
   */
  readonly identify: (key: string | undefined) => Promise<CallerIdentity>;
}

/** Time for all members that are asked in one round. */
const ROUND_TIMEOUT_MS = 1_300;
/** Time for one member, so that a silent leader leaves time for another one. */
const ATTEMPT_TIMEOUT_MS = 450;
const ROUND_PAUSE_MS = 400;
/** Time for which an end is sent again; longer than most outages last. */
const RETRY_PERIOD_MS = 60_000;
/** Maximum number of ends that are sent again after their callers' answers. */
const MAX_UNCONFIRMED = 1_000;

/** Reasons that may not hold in the next round. */
const TEMPORARY_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.ControlUnavailable,
  RefusalReason.LedgerUnavailable,
  RefusalReason.DataCentreFenced,
]);

/**
 * Ends batches at the ledger. An end is sent again until the ledger confirms
 * it, also after its caller was answered: the items of a batch would run on if
 * all attempts of the caller fell into one outage.
 */
export class BatchEnder {
  readonly #options: BatchEnderOptions;
  /** Ends that are sent again, by key and batch. */
  readonly #unconfirmed = new Map<string, UnconfirmedEnd>();

  constructor(options: BatchEnderOptions) {
    this.#options = options;
  }

  /**
   * Ends a batch.
   * @throws RefusalError if the caller is not known or has no such batch, or,
   * with verdict `mayHaveRun`, if the end is not confirmed yet.
   * @example
   * await ender.end({ key, batch: "7c41e0" });
   */
  async end(request: BatchRequest): Promise<void> {
    const pending: PendingEnd = { ...request, caller: undefined };
    try {
      await this.#send(pending);
    } catch (err) {
      if (!isTemporary(err) || !this.#retry(pending)) throw err;
      throw new RefusalError(
        RefusalReason.LedgerUnavailable,
        Verdict.MayHaveRun,
        { message: "The end is not confirmed yet; it is sent again" },
      );
    }
  }

  /** Waits until no end is sent again, or until a time has passed. */
  async settle(timeoutMs: number): Promise<void> {
    const ends = [...this.#unconfirmed.values()];
    await settleWithin(
      Promise.all(ends.map(({ retries }) => retries)),
      timeoutMs,
    );
  }

  /** Sends an end again; returns whether it does. */
  #retry(pending: PendingEnd): boolean {
    const key = JSON.stringify([pending.key, pending.batch]);
    const known = this.#unconfirmed.get(key);
    if (known !== undefined) {
      known.pending.caller ??= pending.caller;
      return true;
    }
    if (this.#unconfirmed.size >= MAX_UNCONFIRMED) return false;
    const retries = this.#sendUntilConfirmed(pending)
      .finally(() => this.#unconfirmed.delete(key));
    this.#unconfirmed.set(key, { pending, retries });
    return true;
  }

  async #sendUntilConfirmed(pending: PendingEnd): Promise<void> {
    const endsAt = performance.now() + RETRY_PERIOD_MS;
    while (performance.now() < endsAt) {
      await delay(ROUND_PAUSE_MS);
      try {
        return await this.#send(pending);
      } catch (err) {
        // Each failed round is logged.
        if (!isTemporary(err)) return;
      }
    }
  }

  /**
   * Sends an end in one round of attempts, and logs the outcome. Its caller is
   * identified once: a later change of the policy does not undo the request.
   */
  async #send(pending: PendingEnd): Promise<void> {
    const { node, identify } = this.#options;
    const { key, batch } = pending;
    const attempts: string[] = [];
    const startedAt = performance.now();
    const describe = () => ({
      batch,
      tookMs: Math.round(performance.now() - startedAt),
      attempts,
    });
    try {
      pending.caller ??= await identify(key);
      await requestAs(pending.caller, (workspace) => {
        const params: BatchParams = { workspace, batch };
        return node.requestLeader(FleetRole.Ledger, BatchMethod.End, {
          params,
          timeoutMs: ROUND_TIMEOUT_MS,
          attemptMs: ATTEMPT_TIMEOUT_MS,
          onFailed: (attempt) => attempts.push(formatAttempt(attempt)),
        });
      });
    } catch (err) {
      const { reason } = err as Partial<RefusalError>;
      node.metrics.count("ends.unconfirmed");
      node.logger.event("endUnconfirmed", { ...describe(), reason });
      throw err;
    }
    node.logger.event("endConfirmed", describe());
  }
}

function isTemporary(err: unknown): boolean {
  return err instanceof RefusalError && TEMPORARY_REASONS.has(err.reason);
}

function formatAttempt(
  { member, reason, verdict, tookMs }: FailedAttempt,
): string {
  return `${member} ${reason} ${verdict} ${tookMs} ms`;
}

/** Ends of batches, as requested at an entry instance. */
import { FleetRole } from "../../core/fleet/mod.ts";
import { BatchMethod, type BatchParams } from "../batches/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { FailedAttempt } from "./leader_client.ts";

/** Options of {@link BatchEnder}. */
export interface BatchEnderOptions {
  readonly node: Pick<FleetNode, "requestLeader" | "logger">;
}

const END_TIMEOUT_MS = 1_300;

/** Ends batches at the ledger, and logs how long that took and who was asked. */
export class BatchEnder {
  readonly #options: BatchEnderOptions;

  constructor(options: BatchEnderOptions) {
    this.#options = options;
  }

  /**
   * Ends a batch.
   * @throws RefusalError if the workspace has no such batch, or if the ledger
   * does not confirm the end in time.
   */
  async end(params: BatchParams): Promise<void> {
    const { node } = this.#options;
    const attempts: string[] = [];
    const startedAt = performance.now();
    const describe = () => ({
      batch: params.batch,
      tookMs: Math.round(performance.now() - startedAt),
      attempts,
    });
    try {
      await node.requestLeader(FleetRole.Ledger, BatchMethod.End, {
        params,
        timeoutMs: END_TIMEOUT_MS,
        attemptMs: END_TIMEOUT_MS,
        onFailed: (attempt) => attempts.push(formatAttempt(attempt)),
      });
    } catch (err) {
      node.logger.event("endUnconfirmed", describe());
      throw err;
    }
    node.logger.event("endConfirmed", describe());
  }
}

function formatAttempt(
  { member, reason, verdict, tookMs }: FailedAttempt,
): string {
  return `${member} ${reason} ${verdict} ${tookMs} ms`;
}

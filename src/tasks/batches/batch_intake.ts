/** Accepts and ends batches in the ledger. */
import type {
  BatchCommand,
  BatchCommandResult,
  BatchState,
  LedgerSnapshot,
} from "../../core/batches/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { LogService } from "../log/mod.ts";
import type { BatchParams, SubmitParams } from "./batch_port.ts";
import { createNotFoundError } from "./result_reader.ts";

/** The replicated log of the ledger. */
export type LedgerService = LogService<
  BatchCommand,
  LedgerSnapshot,
  BatchCommandResult,
  BatchState
>;

/** Options of {@link BatchIntake}. */
export interface BatchIntakeOptions {
  readonly service: LedgerService;
}

/** Time within which leadership must be confirmed. */
export const CONFIRM_TIMEOUT_MS = 800;

/** Proposes the batches that callers submit or end. */
export class BatchIntake {
  readonly #options: BatchIntakeOptions;

  constructor(options: BatchIntakeOptions) {
    this.#options = options;
  }

  /**
   * Accepts a batch, unless it was accepted before.
   * @throws RefusalError if it is faulty or belongs to another workspace.
   */
  async submit({ spec, faults = [] }: SubmitParams): Promise<true> {
    // A batch that was accepted stays so, whatever the policy says by now.
    if (faults.length > 0) await this.#confirmSubmission();
    const existing = this.#options.service.state.get(spec.id);
    if (existing === undefined && faults.length > 0) {
      throw new RefusalError(RefusalReason.MalformedRequest, Verdict.NotRun, {
        message: faults.join("; "),
      });
    }
    if (existing === undefined) {
      const result = await this.#options.service.propose({
        type: "accept",
        spec,
      });
      if (!result.isHeld) throw createNotFoundError();
      return true;
    }
    await this.#confirmSubmission();
    if (existing.spec.workspace !== spec.workspace) throw createNotFoundError();
    return true;
  }

  /** Confirms leadership for a batch that may have been accepted before. */
  async #confirmSubmission(): Promise<void> {
    const { MayHaveRun } = Verdict;
    await this.#options.service.confirmLeadership(
      CONFIRM_TIMEOUT_MS,
      MayHaveRun,
    );
  }

  /**
   * Ends a batch.
   * @throws RefusalError if the workspace has no such batch.
   */
  async end({ workspace, batch }: BatchParams): Promise<true> {
    const record = this.#options.service.state.getForWorkspace(
      workspace,
      batch,
    );
    if (record === undefined) {
      await this.#options.service.confirmLeadership(CONFIRM_TIMEOUT_MS);
      if (
        this.#options.service.state.getForWorkspace(workspace, batch) ===
          undefined
      ) {
        throw createNotFoundError();
      }
    }
    await this.#options.service.propose({ type: "end", batch });
    return true;
  }
}

/** Accepts and ends batches in the ledger. */
import {
  type AdmissionDecision,
  AdmissionReason,
  type BatchCommand,
  type BatchCommandResult,
  type BatchSpec,
  type BatchState,
  type LedgerSnapshot,
} from "../../core/batches/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { LogService } from "../log/mod.ts";
import type { BatchParams, SubmitParams } from "./batch_port.ts";
import { createClosedError } from "./result_reader.ts";

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
  /** Gets what decides on new batches, while this replica leads. */
  readonly admission: () => BatchAdmission;
}

/** Decides whether the leader accepts a batch. */
export interface BatchAdmission {
  decide(spec: BatchSpec): AdmissionDecision;
  /**
   * Called with a batch that is proposed.
   * @returns Function that is to be called once the proposal has ended.
   */
  onProposed?(spec: BatchSpec): () => void;
  /** Called with a decision by which a batch is refused. */
  onRefused(spec: BatchSpec, decision: AdmissionDecision): void;
}

/**
 * Number of batches that are remembered whose proposals may take effect later.
 */
const MAX_UNSETTLED = 1_000;

/** Time within which leadership must be confirmed. */
export const CONFIRM_TIMEOUT_MS = 800;

/** Proposes the batches that callers submit or end. */
export class BatchIntake {
  readonly #options: BatchIntakeOptions;
  /**
   * Batches whose proposals are in progress or ended without a known effect.
   * They are never refused, as they may be accepted by then.
   */
  readonly #unsettled = new Set<string>();

  constructor(options: BatchIntakeOptions) {
    this.#options = options;
  }

  /**
   * Accepts a batch, unless it was accepted before.
   * @throws RefusalError if it is faulty, belongs to another workspace or cannot
   * be complete before its caller gives up.
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
      await this.#throwIfUnservable(spec);
      return await this.#propose(spec);
    }
    await this.#confirmSubmission();
    this.#throwUnlessOpen({ workspace: spec.workspace, batch: spec.id });
    return true;
  }

  /**
   * Refuses a batch that cannot be complete in time. The decision is made again
   * once leadership is confirmed, as an earlier leader may have accepted the
   * batch. Without confirmation the batch is proposed, and the log decides.
   */
  async #throwIfUnservable(spec: BatchSpec): Promise<void> {
    if (this.#findRefusal(spec) === undefined) return;
    try {
      await this.#confirmSubmission();
    } catch {
      return;
    }
    const decision = this.#findRefusal(spec);
    if (decision === undefined) return;
    this.#options.admission().onRefused(spec, decision);
    throw createAdmissionError(decision);
  }

  #findRefusal(spec: BatchSpec): AdmissionDecision | undefined {
    const { service, admission } = this.#options;
    if (!service.takesCommands) return undefined;
    if (this.#unsettled.has(spec.id)) return undefined;
    if (service.state.get(spec.id) !== undefined) return undefined;
    const decision = admission().decide(spec);
    return decision.isAdmitted ? undefined : decision;
  }

  async #propose(spec: BatchSpec): Promise<true> {
    this.#unsettled.add(spec.id);
    for (const id of this.#unsettled) {
      if (this.#unsettled.size <= MAX_UNSETTLED) break;
      this.#unsettled.delete(id);
    }
    const onSettled = this.#options.admission().onProposed?.(spec);
    let result: BatchCommandResult;
    try {
      result = await this.#options.service.propose({ type: "accept", spec });
    } finally {
      onSettled?.();
    }
    this.#unsettled.delete(spec.id);
    if (!result.isHeld) {
      throw createClosedError(this.#options.service.state, {
        workspace: spec.workspace,
        batch: spec.id,
      });
    }
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
   * Ends a batch; one that has ended needs no further write.
   * @throws RefusalError if the workspace has no such batch, or if it is not known
   * yet whether the batch is accepted.
   */
  async end({ workspace, batch }: BatchParams): Promise<true> {
    const { service } = this.#options;
    const record = service.state.getForCaller(workspace, batch);
    // The leader may not have applied what another replica has.
    if (service.takesCommands && record?.isEnded === true) return true;
    if (record === undefined) {
      await service.confirmLeadership(CONFIRM_TIMEOUT_MS);
      if (this.#mayBeAccepted(batch)) throw createUnsettledError();
      this.#throwUnlessOpen({ workspace, batch });
    }
    await service.propose({ type: "end", batch });
    return true;
  }

  #throwUnlessOpen({ workspace, batch }: BatchParams): void {
    const { state } = this.#options.service;
    if (state.getForCaller(workspace, batch) !== undefined) return;
    throw createClosedError(state, { workspace, batch });
  }

  /** Gets whether a proposal may accept a batch that is not known yet. */
  #mayBeAccepted(batch: string): boolean {
    const { state } = this.#options.service;
    return state.get(batch) === undefined && this.#unsettled.has(batch);
  }
}

/** Creates the refusal of a batch that is not admitted. */
function createAdmissionError(
  { reason, retryAfterMs }: AdmissionDecision,
): RefusalError {
  if (reason === AdmissionReason.Memory) {
    return new RefusalError(RefusalReason.QueueFull, Verdict.NotRun, {
      message: "There is no memory for the results of the batch",
      retryAfterMs,
    });
  }
  return new RefusalError(RefusalReason.DeadlineUnreachable, Verdict.NotRun, {
    message: "The batch could not be complete before its time to live ends",
    retryAfterMs,
  });
}

/** Creates the refusal of an end that must be sent again. */
function createUnsettledError(): RefusalError {
  return new RefusalError(RefusalReason.LedgerUnavailable, Verdict.NotRun, {
    message: "The batch may still be accepted",
  });
}

/** Refuses batches whose results the ledger's memory or disk could not hold. */
import {
  type AdmissionDecision,
  AdmissionReason,
  type BatchSpec,
  type BatchState,
  estimateSpecBytes,
  expectedBytesOf,
  findRetryAfterMs,
  type LedgerRoom,
  refuseForMemory,
} from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { BatchAdmission } from "./batch_intake.ts";

/** Options of {@link MemoryGate}. */
export interface MemoryGateOptions {
  readonly state: () => BatchState;
  /** Gets what decides on batches for which there is memory. */
  readonly admission: () => BatchAdmission;
  /** What the batches may take. */
  readonly room: LedgerRoom;
  /** Time for which results are kept, in milliseconds. */
  readonly keepResultsMs: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the time of the clock, in milliseconds since the Unix epoch. */
  readonly wallNow: () => number;
}

/** Decides on batches by the room for them, and then as another one does. */
export class MemoryGate implements BatchAdmission {
  readonly #options: MemoryGateOptions;
  /** Bytes of batches that are proposed and not in the state yet. */
  #proposedBytes = 0;

  constructor(options: MemoryGateOptions) {
    this.#options = options;
  }

  decide(spec: BatchSpec): AdmissionDecision {
    const { state, room, keepResultsMs, wallNow } = this.#options;
    const retryAfterMs = findRetryAfterMs({
      spec,
      records: state().all,
      room,
      proposedBytes: this.#proposedBytes,
      keepResultsMs,
      wallNow: wallNow(),
    });
    return retryAfterMs > 0
      ? refuseForMemory(retryAfterMs)
      : this.#options.admission().decide(spec);
  }

  onProposed(spec: BatchSpec): () => void {
    const bytes = estimateSpecBytes(spec);
    this.#proposedBytes += bytes;
    return () => {
      this.#proposedBytes -= bytes;
    };
  }

  onRefused(spec: BatchSpec, decision: AdmissionDecision): void {
    const { reason, retryAfterMs } = decision;
    if (reason !== AdmissionReason.Memory) {
      this.#options.admission().onRefused(spec, decision);
      return;
    }
    const { logger, metrics, state, room } = this.#options;
    metrics.count("batches.refused.memory");
    logger.event("batchRefused", {
      batch: spec.id,
      workspace: spec.workspace,
      service: spec.service,
      reason,
      items: spec.items.length,
      expectedBytes: Math.round(expectedBytesOf(state().all)),
      movedBytes: state().movedBytes,
      roomBytes: room.memoryBytes,
      diskBytes: room.diskBytes,
      retryAfterMs,
    });
  }

  /** Sets the gauges of the memory that batches take and may take. */
  updateGauges(): void {
    const { metrics, state, room } = this.#options;
    metrics.gauge("batches.bytes", state().bytes);
    metrics.gauge("batches.movedBytes", state().movedBytes);
    metrics.gauge("batches.roomBytes", room.memoryBytes);
  }
}

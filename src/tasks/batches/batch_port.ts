/** Methods and parameters by which entry instances call the batch ledger. */
import type { BatchSpec } from "../../core/batches/mod.ts";

/** Methods of the peer protocol that the batch ledger serves. */
export const BatchMethod = {
  Submit: "batches.submit",
  Read: "batches.read",
  /** Reads what a replica has stored; served by all replicas. */
  ReadStored: "batches.readStored",
  Body: "batches.body",
  /** Gets texts of results for another replica, which lacks them. */
  Texts: "batches.texts",
  End: "batches.end",
  /** Lists the instances that hold a replica of the ledger. */
  Holders: "batches.holders",
  /** Tells another ledger instance what the leader has learnt of targets. */
  Paces: "batches.paces",
} as const;

/** Maximum size of the texts of a page of results, in bytes. */
export const MAX_PAGE_BYTES = 700_000;

/** Reports the number of running and waiting items to the control leader. */
export const DEMAND_METHOD = "fleet.demand";

/** Parameters of {@link BatchMethod.Submit}. */
export interface SubmitParams {
  readonly spec: BatchSpec;
  /** Faults for which the batch is refused, unless it is already accepted. */
  readonly faults?: readonly string[];
}

/** Identifies a batch, for a caller. */
export interface BatchParams {
  /** Workspace of the caller; `NO_WORKSPACE` if it brought no known key. */
  readonly workspace: string;
  readonly batch: string;
}

/** Parameters of {@link BatchMethod.Read}. */
export interface ReadParams extends BatchParams {
  /** Number of results to skip. */
  readonly after: number;
  /** Maximum time to wait if there is no result yet, in milliseconds. */
  readonly waitMs: number;
}

/** Parameters of {@link BatchMethod.Body}. */
export interface BodyParams extends BatchParams {
  readonly item: string;
}

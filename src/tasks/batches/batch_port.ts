/** Calls for batches, as entry instances pass them to the ledger. */
import type { BatchSpec } from "../../core/batches/mod.ts";

/** Names of the calls between instances. */
export const BatchMethod = {
  Submit: "batches.submit",
  Read: "batches.read",
  Body: "batches.body",
  End: "batches.end",
  /** Asks which instances hold the ledger. */
  Holders: "batches.holders",
} as const;

/** Tells the control log's leader how many items run and wait. */
export const DEMAND_METHOD = "fleet.demand";

/** Submits a batch. */
export interface SubmitParams {
  readonly spec: BatchSpec;
}

/** Names a batch of a workspace. */
export interface BatchParams {
  readonly workspace: string;
  readonly batch: string;
}

/** Reads results. */
export interface ReadParams extends BatchParams {
  /** Position of the first result. */
  readonly after: number;
  /** Time to wait for a result where there is none, in milliseconds. */
  readonly waitMs: number;
}

/** Asks for the body of an item. */
export interface BodyParams extends BatchParams {
  readonly item: string;
}

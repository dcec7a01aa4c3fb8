/** The unit of work of the dispatch task. */
import type { WorkItem } from "../../core/dispatch/mod.ts";
import type { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import type { ResponseSink } from "./exchange.ts";

/** An HTTP request that can be sent to any target. */
export interface TargetRequest {
  /** Path, including the query. */
  readonly path: string;
  readonly method: string;
  /** Headers; must not contain the caller's key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  /** Timeout of an attempt, in milliseconds. */
  readonly timeoutMs: number;
}

/** Result of a job. */
export type JobResult =
  | { readonly type: "completed"; readonly targetId: string }
  | { readonly type: "cancelled" }
  | {
    readonly type: "refused";
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
    readonly retryAfterMs?: number;
  };

/** Receives the response of an attempt. */
export interface JobSink extends ResponseSink {
  /** Whether any part of the response has been sent to the caller. */
  readonly hasResponded: boolean;
  /** Number of tokens generated. */
  readonly tokens: number;
}

/** An item for the dispatcher, and the means to run it at a target. */
export interface Job {
  /** The data by which the dispatcher schedules the job. */
  readonly item: WorkItem;
  /** The request sent to the target. */
  readonly request: TargetRequest;
  /** Creates the sink for the response of an attempt. */
  createSink(targetId: string): JobSink;
  /** Called when an attempt starts at a target. */
  onPlaced?(targetId: string, weightVersion: number | undefined): void;
  /** Called once, when the job has ended. */
  onEnd(result: JobResult, sink: JobSink | undefined): void;
}

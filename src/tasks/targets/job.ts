/** Work for the dispatch task: an item and how to carry it out. */
import type { WorkItem } from "../../core/dispatch/mod.ts";
import type { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import type { AnswerSink } from "./exchange.ts";

/** An HTTP request, without the address of a target. */
export interface TargetRequest {
  /** Path with its query. */
  readonly path: string;
  /** Method. */
  readonly method: string;
  /** Headers; never a caller's key. */
  readonly headers: Readonly<Record<string, string>>;
  /** Body. */
  readonly body: Buffer | undefined;
  /** Time allowed for an attempt, in milliseconds. */
  readonly timeoutMs: number;
}

/** How a job ended. */
export type JobResult =
  | { readonly type: "completed"; readonly targetId: string }
  | { readonly type: "cancelled" }
  | {
    readonly type: "refused";
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
    readonly retryAfterMs?: number;
  };

/** Receives the answers of a job's attempts. */
export interface JobSink extends AnswerSink {
  /** Whether a byte of the answer has reached the caller. */
  readonly hasAnswered: boolean;
  /** Tokens generated. */
  readonly tokens: number;
}

/** Work for the dispatch task. */
export interface Job {
  /** What the dispatcher decides on. */
  readonly item: WorkItem;
  /** What is sent to the target. */
  readonly request: TargetRequest;
  /** Creates the receiver of an attempt's answer. */
  createSink(targetId: string): JobSink;
  /** Hears where an attempt starts. */
  onPlaced?(targetId: string, weightVersion: number | undefined): void;
  /** Hears how the job ended; called once. */
  onEnd(result: JobResult, sink: JobSink | undefined): void;
}

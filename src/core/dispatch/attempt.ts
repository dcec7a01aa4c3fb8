/** Outcomes of attempts, and effects returned by the dispatcher. */
import type { RefusalReason, Verdict } from "../verdict/mod.ts";
import type { RetryDecision } from "../retry/mod.ts";
import type { SuspicionChange } from "../quarantine/mod.ts";
import type { WorkItem } from "./work_item.ts";

/** Outcome of an attempt. */
export type AttemptOutcome =
  | {
    readonly type: "completed";
    /** Number of generated tokens. */
    readonly tokens: number;
  }
  | {
    readonly type: "failed";
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
    /** Whether any byte of the response has been sent to the caller. */
    readonly hasResponded: boolean;
    /** Whether the target reported that it is overloaded. */
    readonly isOverload: boolean;
    /** Whether the failure counts against the health of the target. */
    readonly isTargetFault: boolean;
    /** Retry delay requested by the target, in milliseconds. */
    readonly retryAfterMs?: number;
  }
  | { readonly type: "cancelled" };

/** An action that the owner of the dispatcher must carry out. */
export type DispatchEffect =
  | {
    readonly type: "start";
    readonly item: WorkItem;
    readonly targetId: string;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    /** Timeout for the first token, in milliseconds; undefined for none. */
    readonly firstTokenTimeoutMs?: number;
  }
  | {
    readonly type: "refuse";
    readonly item: WorkItem;
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
    readonly retryAfterMs?: number;
  }
  | {
    readonly type: "retry";
    readonly item: WorkItem;
    readonly reason: RefusalReason;
    readonly decision: RetryDecision;
  }
  | { readonly type: "suspect"; readonly change: SuspicionChange };

/** Outcomes of an attempt and effects of the dispatcher. */
import type { RefusalReason, Verdict } from "../verdict/mod.ts";
import type { RetryDecision } from "../retry/mod.ts";
import type { SuspicionChange } from "../quarantine/mod.ts";
import type { WorkItem } from "./work_item.ts";

/** How an attempt ended. */
export type AttemptOutcome =
  | {
    readonly type: "completed";
    /** Tokens generated. */
    readonly tokens: number;
  }
  | {
    readonly type: "failed";
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
    /** Whether a byte of the answer has reached the caller. */
    readonly hasAnswered: boolean;
    /** Whether the target said that it has too much work. */
    readonly isOverload: boolean;
    /** Whether the target itself seems at fault. */
    readonly isTargetFault: boolean;
    /** Time after which the target wants to be asked again. */
    readonly retryAfterMs?: number;
  }
  | { readonly type: "cancelled" };

/** What the caller of the dispatcher is to do. */
export type DispatchEffect =
  | {
    readonly type: "start";
    readonly item: WorkItem;
    readonly targetId: string;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    /** Time allowed until the first token; undefined without a bound. */
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

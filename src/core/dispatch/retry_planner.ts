/** Whether and when a request is sent again after a failed attempt. */
import {
  backoffMs,
  decideRetry,
  isRetry,
  type RetryDecision,
} from "../retry/mod.ts";
import { RefusalReason } from "../verdict/mod.ts";
import type { ActiveRequest } from "./active_request.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { type BudgetOwners, RetryBudgets } from "./retry_budgets.ts";
import { WorkKind } from "./work_item.ts";

/** Outcome of a failed attempt. */
export type FailedOutcome = Extract<AttemptOutcome, { type: "failed" }>;

/** What follows a failed attempt. */
export type RetryPlan =
  | {
    readonly type: "retry";
    /** Earliest time of the next attempt, in milliseconds. */
    readonly notBefore: number;
    readonly decision: RetryDecision;
  }
  | { readonly type: "refuse"; readonly reason: RefusalReason };

/** Plans retries within the budgets of workspaces and targets. */
export class RetryPlanner {
  readonly #budgets = new RetryBudgets();
  readonly #random: () => number;

  /** @param random - Gets a number from 0 to 1; sets the jitter of delays. */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Records a success, which adds to the budgets of its owners. */
  onSuccess(owners: BudgetOwners): void {
    this.#budgets.onSuccess(owners);
  }

  /**
   * Plans what follows a failed attempt, whose verdict and target the request
   * has recorded. A sample belongs to an accepted step, so its retries spend no
   * budget.
   * @example
   * const plan = planner.plan(request, outcome, now);
   * if (plan.type === "retry") request.notBefore = plan.notBefore;
   */
  plan(request: ActiveRequest, outcome: FailedOutcome, now: number): RetryPlan {
    const { item } = request;
    const decision = decideRetry({
      verdict: request.verdict,
      idempotent: item.idempotent,
      hasResponded: outcome.hasResponded,
      attempts: request.attempts,
      maxAttempts: item.maxAttempts,
    });
    if (!isRetry(decision)) return { type: "refuse", reason: outcome.reason };
    const isBudgetExempt = item.kind === WorkKind.Sample;
    const targetId = [...request.failedTargets].at(-1) ?? "";
    const owners = { workspace: item.workspace, targetId };
    if (!isBudgetExempt && !this.#budgets.trySpend(owners)) {
      return { type: "refuse", reason: RefusalReason.RetryBudgetSpent };
    }
    const delayMs = backoffMs(request.attempts, this.#random());
    const notBefore = now + Math.max(delayMs, outcome.retryAfterMs ?? 0);
    return { type: "retry", notBefore, decision };
  }
}

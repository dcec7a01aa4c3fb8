/** Retry policy and retry budgets. */
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
export * from "./retry_delay.ts";

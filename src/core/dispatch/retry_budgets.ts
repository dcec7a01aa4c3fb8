/** Retry budgets by workspace and by target. */
import { RetryBudget } from "../retry/mod.ts";

/** Owners of the two budgets that a retry spends from. */
export interface BudgetOwners {
  /** Workspace of the request. */
  readonly workspace: string;
  /** Target that ran the request. */
  readonly targetId: string;
}

/** Holds a retry budget for each workspace and each target. */
export class RetryBudgets {
  readonly #workspaces = new Map<string, RetryBudget>();
  readonly #targets = new Map<string, RetryBudget>();

  /** Records a success in both budgets. */
  onSuccess(owners: BudgetOwners): this {
    budgetOf(this.#workspaces, owners.workspace).onSuccess();
    budgetOf(this.#targets, owners.targetId).onSuccess();
    return this;
  }

  /**
   * Spends a retry from both budgets.
   * @returns False if either is exhausted; the target's may be spent then.
   */
  trySpend(owners: BudgetOwners): boolean {
    const target = budgetOf(this.#targets, owners.targetId);
    const workspace = budgetOf(this.#workspaces, owners.workspace);
    return target.trySpend() && workspace.trySpend();
  }
}

function budgetOf(
  budgets: Map<string, RetryBudget>,
  id: string,
): RetryBudget {
  const budget = budgets.get(id) ?? new RetryBudget();
  budgets.set(id, budget);
  return budget;
}

/** The retry budgets of workspaces and targets. */
import { RetryBudget } from "../retry/mod.ts";

/** Whose budgets a retry draws on. */
export interface BudgetOwners {
  /** Workspace of the request. */
  readonly workspace: string;
  /** Target that failed or answered it. */
  readonly targetId: string;
}

/** Keeps a budget for each workspace and for each target. */
export class RetryBudgets {
  readonly #workspaces = new Map<string, RetryBudget>();
  readonly #targets = new Map<string, RetryBudget>();

  /** Counts a success for both. */
  onSuccess(owners: BudgetOwners): this {
    budgetOf(this.#workspaces, owners.workspace).onSuccess();
    budgetOf(this.#targets, owners.targetId).onSuccess();
    return this;
  }

  /** Spends a retry where both budgets allow it. */
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
  const known = budgets.get(id) ?? new RetryBudget();
  budgets.set(id, known);
  return known;
}

/** Accumulates usage between writes to the ledger. */
import type { UsageEntry } from "../../core/ledger/mod.ts";

/** Amounts of usage. */
export type UsageAmounts = Omit<UsageEntry, "workspace" | "route">;

/** The workspace and route to which usage is attributed. */
export interface UsageOwner {
  /** Workspace that is billed. */
  readonly workspace: string;
  readonly route: string;
}

/** Sums up usage by workspace and route until it is written. */
export class UsageMeter {
  readonly #entries = new Map<string, UsageEntry>();

  /** Adds amounts; missing ones count as 0. */
  add(owner: UsageOwner, amounts: Partial<UsageAmounts>): this {
    const key = `${owner.workspace}/${owner.route}`;
    const previous = this.#entries.get(key);
    this.#entries.set(key, {
      workspace: owner.workspace,
      route: owner.route,
      requests: (previous?.requests ?? 0) + (amounts.requests ?? 0),
      tokens: (previous?.tokens ?? 0) + (amounts.tokens ?? 0),
      samples: (previous?.samples ?? 0) + (amounts.samples ?? 0),
      wastedTokens: (previous?.wastedTokens ?? 0) + (amounts.wastedTokens ?? 0),
    });
    return this;
  }

  /** Removes and returns all accumulated usage. */
  drain(): UsageEntry[] {
    const entries = [...this.#entries.values()];
    this.#entries.clear();
    return entries;
  }

  /** Adds back entries that could not be written. */
  restore(entries: readonly UsageEntry[]): this {
    for (const entry of entries) this.add(entry, entry);
    return this;
  }
}

/** Adds use up between two writes to the ledger. */
import type { UsageEntry } from "../../core/ledger/mod.ts";

/** Parts of a use that are counted. */
export type UsageAmounts = Omit<UsageEntry, "workspace" | "route">;

/** Names whose use it is. */
export interface UsageOwner {
  /** Workspace that pays. */
  readonly workspace: string;
  /** Route. */
  readonly route: string;
}

/** Keeps use that has not been written yet. */
export class UsageMeter {
  readonly #entries = new Map<string, UsageEntry>();

  /** Adds use. */
  add(owner: UsageOwner, amounts: Partial<UsageAmounts>): this {
    const name = `${owner.workspace}/${owner.route}`;
    const known = this.#entries.get(name);
    this.#entries.set(name, {
      workspace: owner.workspace,
      route: owner.route,
      requests: (known?.requests ?? 0) + (amounts.requests ?? 0),
      tokens: (known?.tokens ?? 0) + (amounts.tokens ?? 0),
      samples: (known?.samples ?? 0) + (amounts.samples ?? 0),
      wastedTokens: (known?.wastedTokens ?? 0) + (amounts.wastedTokens ?? 0),
    });
    return this;
  }

  /** Takes everything out. */
  take(): UsageEntry[] {
    const entries = [...this.#entries.values()];
    this.#entries.clear();
    return entries;
  }

  /** Puts entries back that could not be written. */
  putBack(entries: readonly UsageEntry[]): this {
    for (const entry of entries) this.add(entry, entry);
    return this;
  }
}

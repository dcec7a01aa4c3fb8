/** Targets that have recently read the prompt of a group. */
import { LRUCache } from "lru-cache";
import type { BatchItem } from "./batch.ts";
import type { BatchRecord } from "./batch_record.ts";

/** Maximum number of tracked groups. */
const MAX_GROUPS = 4_096;
/** Time after a run in which its target is expected to hold the prompt. */
const RETENTION_MS = 20_000;
const NO_TARGETS: ReadonlySet<string> = new Set();

/**
 * Tracks which targets have read the prompts of groups, since a prompt that is
 * cached need not be read again. A wrong entry only costs reading a prompt
 * again.
 */
export class PromptLocations {
  readonly #targets = new LRUCache<string, Map<string, number>>({
    max: MAX_GROUPS,
  });

  /** Records that a target reads or holds the prompt of an item's group. */
  add(waiting: GroupMember, target: string, now: number): this {
    const key = groupKeyOf(waiting);
    const targets = this.#targets.get(key) ?? new Map<string, number>();
    targets.set(target, now + RETENTION_MS);
    this.#targets.set(key, targets);
    return this;
  }

  /** Records that a target did not read the prompt of an item's group. */
  remove(waiting: GroupMember, target: string): this {
    this.#targets.get(groupKeyOf(waiting))?.delete(target);
    return this;
  }

  /** Gets the targets that should hold the prompt of an item's group. */
  targetsOf(waiting: GroupMember, now: number): ReadonlySet<string> {
    const targets = this.#targets.get(groupKeyOf(waiting));
    if (targets === undefined) return NO_TARGETS;
    for (const [target, until] of targets) {
      if (now >= until) targets.delete(target);
    }
    return new Set(targets.keys());
  }

  /** Clears all prompts. */
  clear(): this {
    this.#targets.clear();
    return this;
  }
}

/** An item of a batch. */
export interface GroupMember {
  readonly record: BatchRecord;
  readonly item: BatchItem;
}

/** Gets the key of an item's group, which differs between batches. */
export function groupKeyOf({ record, item }: GroupMember): string {
  return `${record.spec.id}/${item.group}`;
}

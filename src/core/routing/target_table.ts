/** The targets that an instance knows, by pool. */
import type { AdaptiveWindowOptions } from "../limits/mod.ts";
import { Target, type TargetAnnouncement } from "./target.ts";
import { TargetEvent, TargetPhase } from "./target_lifecycle.ts";

/** Holds the targets and who serves which pool. */
export class TargetTable {
  readonly #window: AdaptiveWindowOptions;
  readonly #targets = new Map<string, Target>();
  readonly #pools = new Map<string, Set<string>>();

  /**
   * Creates an empty table.
   * @param window - Windows of new targets.
   */
  constructor(window: AdaptiveWindowOptions = {}) {
    this.#window = window;
  }

  /** Gets a target by its identifier. */
  get(id: string): Target | undefined {
    return this.#targets.get(id);
  }

  /** Gets all targets. */
  list(): readonly Target[] {
    return [...this.#targets.values()];
  }

  /** Gets the targets of a pool. */
  *inPool(pool: string): IterableIterator<Target> {
    for (const id of this.#pools.get(pool) ?? []) {
      const target = this.#targets.get(id);
      if (target !== undefined) yield target;
    }
  }

  /**
   * Takes in an announcement.
   *
   * A new incarnation replaces the target that it follows; the same
   * incarnation keeps health, load and window. A target that is leaving does
   * not come back under the same incarnation.
   */
  announce(announcement: TargetAnnouncement): Target {
    const existing = this.#targets.get(announcement.id);
    const isSame = existing !== undefined &&
      existing.phase !== TargetPhase.Gone &&
      existing.announcement.incarnation === announcement.incarnation;
    const target = isSame
      ? existing.update(announcement)
      : new Target(announcement, this.#window);
    this.remove(announcement.id);
    this.#targets.set(announcement.id, target);
    for (const pool of announcement.pools) {
      const ids = this.#pools.get(pool) ?? new Set();
      this.#pools.set(pool, ids.add(announcement.id));
    }
    return target;
  }

  /** Removes a target. */
  remove(id: string): this {
    this.#targets.delete(id);
    for (const ids of this.#pools.values()) ids.delete(id);
    return this;
  }

  /** Marks a target as leaving: it finishes its work and gets nothing new. */
  markLeaving(id: string): this {
    this.#targets.get(id)?.send(TargetEvent.Leave);
    return this;
  }
}

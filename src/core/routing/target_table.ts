/** Targets known to an instance, indexed by pool. */
import type { AdaptiveWindowOptions } from "../limits/mod.ts";
import { Target, type TargetAnnouncement } from "./target.ts";
import { TargetEvent, TargetPhase } from "./target_lifecycle.ts";

/** Holds targets by identifier and by pool. */
export class TargetTable {
  readonly #window: AdaptiveWindowOptions;
  readonly #targets = new Map<string, Target>();
  readonly #pools = new Map<string, Set<string>>();

  /**
   * Creates an empty table.
   * @param window - Options of the concurrency windows of new targets.
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
   * Adds or updates a target.
   *
   * A new incarnation replaces the target. The same incarnation keeps health,
   * load and window, and a leaving target stays leaving.
   */
  announce(announcement: TargetAnnouncement): Target {
    const existing = this.#targets.get(announcement.id);
    const isSame = existing !== undefined &&
      existing.phase !== TargetPhase.Removed &&
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

  /** Marks a target as leaving: it finishes its work and gets no more. */
  markLeaving(id: string): this {
    this.#targets.get(id)?.send(TargetEvent.Leave);
    return this;
  }
}

/** Weighted deficit round robin over workspaces. */

/** An entry of the queue. */
export interface QueueEntry {
  /** Identifier, unique in the queue. */
  readonly id: string;
  /** Workspace that pays for the entry. */
  readonly workspace: string;
  /** Estimated cost, in tokens. */
  readonly cost: number;
}

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
  /** Tokens that a workspace of weight 1 is given each round. */
  readonly quantum?: number;
  /** Gets the weight of a workspace. */
  readonly getWeight: (workspace: string) => number;
}

interface Lane<T> {
  readonly workspace: string;
  readonly entries: T[];
  deficit: number;
  isCredited: boolean;
}

/** Tokens that a workspace of weight 1 is given each round. */
const DEFAULT_QUANTUM_TOKENS = 256;
/** Debt, in rounds of a workspace, beyond which corrections are cut off. */
const MAX_DEBT_ROUNDS = 64;

/**
 * Serves workspaces by weight, counted in tokens.
 *
 * Cost is charged by estimate when an entry is taken and corrected to the
 * true figure afterwards by {@link FairQueue.correct}.
 *
 * @example
 * ```ts
 * const queue = new FairQueue<QueueEntry>({ getWeight: () => 1 });
 * queue.push({ id: "a", workspace: "artis", cost: 100 });
 * queue.take(() => true)?.id; // "a"
 * ```
 */
export class FairQueue<T extends QueueEntry> {
  readonly #lanes = new Map<string, Lane<T>>();
  readonly #getWeight: (workspace: string) => number;
  readonly #quantum: number;
  #ring: Lane<T>[] = [];
  #cursor = 0;
  #size = 0;

  /** Creates an empty queue. */
  constructor(options: FairQueueOptions) {
    this.#getWeight = options.getWeight;
    this.#quantum = options.quantum ?? DEFAULT_QUANTUM_TOKENS;
  }

  /** Gets the number of entries. */
  get size(): number {
    return this.#size;
  }

  /** Gets the number of entries of a workspace. */
  sizeOf(workspace: string): number {
    return this.#lanes.get(workspace)?.entries.length ?? 0;
  }

  /** Gets all entries, by workspace. */
  *entries(): IterableIterator<T> {
    for (const lane of this.#lanes.values()) yield* lane.entries;
  }

  /** Adds an entry at the end of its workspace. */
  push(entry: T): this {
    this.#laneOf(entry.workspace).entries.push(entry);
    this.#size += 1;
    return this;
  }

  /** Adds an entry at the front of its workspace, as for a retry. */
  pushFront(entry: T): this {
    this.#laneOf(entry.workspace).entries.unshift(entry);
    this.#size += 1;
    return this;
  }

  /** Removes an entry by its identifier. */
  remove(entry: T): boolean {
    const lane = this.#lanes.get(entry.workspace);
    const index = lane?.entries.findIndex((e) => e.id === entry.id) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.entries.splice(index, 1);
    this.#size -= 1;
    return true;
  }

  /**
   * Takes the next entry that can be placed now.
   *
   * A workspace whose entries cannot be placed is passed over and keeps its
   * deficit, so it is served first once a target is free for it.
   * @param canPlace - Gets whether a target is free for the entry.
   */
  take(canPlace: (entry: T) => boolean): T | undefined {
    const blocked = new Set<Lane<T>>();
    while (blocked.size < this.#ring.length) {
      const lane = this.#ring[this.#cursor];
      if (lane.entries.length === 0) {
        lane.deficit = Math.min(lane.deficit, 0);
        blocked.add(lane);
        this.#advance();
        continue;
      }
      if (blocked.has(lane)) {
        this.#advance();
        continue;
      }
      this.#credit(lane);
      const index = lane.entries.findIndex(canPlace);
      if (index < 0) {
        blocked.add(lane);
        this.#advance();
        continue;
      }
      const entry = lane.entries[index];
      const hasRivals = this.#hasRivals(lane, blocked);
      if (lane.deficit < entry.cost && hasRivals) {
        this.#advance();
        continue;
      }
      lane.entries.splice(index, 1);
      const left = lane.deficit - entry.cost;
      lane.deficit = hasRivals
        ? left
        : Math.max(left, Math.min(0, lane.deficit));
      this.#size -= 1;
      return entry;
    }
    return undefined;
  }

  /** Corrects the charge of a workspace from the estimated to the true cost. */
  correct(workspace: string, estimated: number, actual: number): this {
    const lane = this.#lanes.get(workspace);
    if (lane === undefined) return this;
    const floor = -MAX_DEBT_ROUNDS * this.#quantumOf(lane);
    lane.deficit = Math.max(floor, lane.deficit + estimated - actual);
    return this;
  }

  #laneOf(workspace: string): Lane<T> {
    let lane = this.#lanes.get(workspace);
    if (lane !== undefined) return lane;
    lane = { workspace, entries: [], deficit: 0, isCredited: false };
    this.#lanes.set(workspace, lane);
    this.#ring.push(lane);
    return lane;
  }

  #quantumOf(lane: Lane<T>): number {
    return this.#quantum * this.#getWeight(lane.workspace);
  }

  #credit(lane: Lane<T>): void {
    if (lane.isCredited) return;
    lane.isCredited = true;
    lane.deficit += this.#quantumOf(lane);
  }

  #advance(): void {
    this.#ring[this.#cursor].isCredited = false;
    this.#cursor = (this.#cursor + 1) % this.#ring.length;
  }

  #hasRivals(lane: Lane<T>, blocked: ReadonlySet<Lane<T>>): boolean {
    return this.#ring.some((other) =>
      other !== lane && other.entries.length > 0 && !blocked.has(other)
    );
  }
}

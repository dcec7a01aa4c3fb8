/** Weighted deficit round robin queue over workspaces. */

/** An entry of the queue. */
export interface QueueEntry {
  /** Identifier, unique in the queue. */
  readonly id: string;
  /** Workspace that is charged for the entry. */
  readonly workspace: string;
  /** Estimated cost, in tokens. */
  readonly cost: number;
}

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
  /** Tokens credited per round to a workspace of weight 1. */
  readonly quantum?: number;
  /** Gets the fair-share weight of a workspace. */
  readonly getWeight: (workspace: string) => number;
}

interface WorkspaceQueue<T> {
  readonly workspace: string;
  readonly entries: T[];
  deficit: number;
  isCredited: boolean;
}

/** Tokens credited per round to a workspace of weight 1. */
const DEFAULT_QUANTUM_TOKENS = 256;
/** Maximum debt of a workspace after corrections, in rounds of credit. */
const MAX_DEBT_ROUNDS = 64;

/**
 * Shares capacity among workspaces by weight, measured in tokens.
 *
 * The estimated cost is charged when an entry is taken, and corrected to the
 * actual cost later by {@link FairQueue.correct}.
 *
 * @example
 * ```ts
 * const queue = new FairQueue<QueueEntry>({ getWeight: () => 1 });
 * queue.push({ id: "a", workspace: "artis", cost: 100 });
 * queue.dequeue(() => true)?.id; // "a"
 * ```
 */
export class FairQueue<T extends QueueEntry> {
  readonly #queues = new Map<string, WorkspaceQueue<T>>();
  readonly #getWeight: (workspace: string) => number;
  readonly #quantum: number;
  #ring: WorkspaceQueue<T>[] = [];
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
    return this.#queues.get(workspace)?.entries.length ?? 0;
  }

  /** Iterates over all entries, grouped by workspace. */
  *entries(): IterableIterator<T> {
    for (const queue of this.#queues.values()) yield* queue.entries;
  }

  /** Adds an entry at the end of its workspace's queue. */
  push(entry: T): this {
    this.#queueOf(entry.workspace).entries.push(entry);
    this.#size += 1;
    return this;
  }

  /** Adds an entry at the front of its workspace's queue, as for a retry. */
  pushFront(entry: T): this {
    this.#queueOf(entry.workspace).entries.unshift(entry);
    this.#size += 1;
    return this;
  }

  /** Removes an entry by its identifier; returns false if not queued. */
  remove(entry: T): boolean {
    const queue = this.#queues.get(entry.workspace);
    const index = queue?.entries.findIndex((e) => e.id === entry.id) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.entries.splice(index, 1);
    this.#size -= 1;
    return true;
  }

  /**
   * Removes and returns the next entry that can be placed now.
   *
   * A workspace whose entries cannot be placed is skipped and keeps its
   * deficit, so it is served first once a target is free for it. A workspace
   * without competitors is served even if its deficit is used up.
   * @param canPlace - Gets whether a target is free for the entry.
   */
  dequeue(canPlace: (entry: T) => boolean): T | undefined {
    const blocked = new Set<WorkspaceQueue<T>>();
    while (blocked.size < this.#ring.length) {
      const queue = this.#ring[this.#cursor];
      if (queue.entries.length === 0) {
        queue.deficit = Math.min(queue.deficit, 0);
        blocked.add(queue);
        this.#advance();
        continue;
      }
      if (blocked.has(queue)) {
        this.#advance();
        continue;
      }
      this.#credit(queue);
      const index = queue.entries.findIndex(canPlace);
      if (index < 0) {
        blocked.add(queue);
        this.#advance();
        continue;
      }
      const entry = queue.entries[index];
      const hasCompetitors = this.#hasCompetitors(queue, blocked);
      if (queue.deficit < entry.cost && hasCompetitors) {
        this.#advance();
        continue;
      }
      queue.entries.splice(index, 1);
      const remaining = queue.deficit - entry.cost;
      queue.deficit = hasCompetitors
        ? remaining
        : Math.max(remaining, Math.min(0, queue.deficit));
      this.#size -= 1;
      return entry;
    }
    return undefined;
  }

  /** Corrects the charge of a workspace from estimated to actual cost. */
  correct(workspace: string, estimated: number, actual: number): this {
    const queue = this.#queues.get(workspace);
    if (queue === undefined) return this;
    const minDeficit = -MAX_DEBT_ROUNDS * this.#quantumOf(queue);
    queue.deficit = Math.max(minDeficit, queue.deficit + estimated - actual);
    return this;
  }

  #queueOf(workspace: string): WorkspaceQueue<T> {
    let queue = this.#queues.get(workspace);
    if (queue !== undefined) return queue;
    queue = { workspace, entries: [], deficit: 0, isCredited: false };
    this.#queues.set(workspace, queue);
    this.#ring.push(queue);
    return queue;
  }

  #quantumOf(queue: WorkspaceQueue<T>): number {
    return this.#quantum * this.#getWeight(queue.workspace);
  }

  #credit(queue: WorkspaceQueue<T>): void {
    if (queue.isCredited) return;
    queue.isCredited = true;
    queue.deficit += this.#quantumOf(queue);
  }

  #advance(): void {
    this.#ring[this.#cursor].isCredited = false;
    this.#cursor = (this.#cursor + 1) % this.#ring.length;
  }

  #hasCompetitors(
    queue: WorkspaceQueue<T>,
    blocked: ReadonlySet<WorkspaceQueue<T>>,
  ): boolean {
    return this.#ring.some((other) =>
      other !== queue && other.entries.length > 0 && !blocked.has(other)
    );
  }
}

/** Execution of the effects of a consensus node, in order. */
import type {
  ConsensusEffect,
  ConsensusMessage,
} from "../../core/consensus/mod.ts";

/** An effect that stores something. */
export type WriteEffect<C, S> = Extract<
  ConsensusEffect<C, S>,
  { type: "write" }
>;

/** Options of {@link EffectQueue}. */
export interface EffectQueueOptions<C, S> {
  /** Stores writes; resolves once they are synced. */
  readonly write: (writes: readonly WriteEffect<C, S>[]) => Promise<void>;
  /** Carries out an effect whose preceding writes are synced. */
  readonly execute: (effect: ConsensusEffect<C, S>) => void;
  /** Called when writes are synced and the effects beside them carried out. */
  readonly onWritten: (writes: readonly WriteEffect<C, S>[]) => void;
  /** Called when an effect has failed; none is carried out after it. */
  readonly onFailed: (err: unknown) => void;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Time of a write after which a leader's requests wait for it: a leader whose disk
 * stands still must not keep the lead.
 */
const MAX_WRITE_MS = 250;

/**
 * Carries out the effects of one node. The writes of a round are synced together
 * before its other effects, because a {@link ConsensusEffect} must not be carried
 * out before the writes that precede it. A leader's requests do not wait for writes
 * of entries: it counts its own entries once they are written, so the others may
 * store them meanwhile.
 *
 * @example
 * ```ts
 * queue.add(node.takeEffects());
 * ```
 */
export class EffectQueue<C, S> {
  readonly #options: EffectQueueOptions<C, S>;
  #effects: ConsensusEffect<C, S>[] = [];
  /** Writes of the round that is being carried out, and when they were begun. */
  #writes: readonly WriteEffect<C, S>[] = [];
  #writesBegunAt = -Infinity;
  #isExecuting = false;
  #isStopped = false;

  constructor(options: EffectQueueOptions<C, S>) {
    this.#options = options;
  }

  /** Adds effects, which are carried out after all that they wait for. */
  add(effects: readonly ConsensusEffect<C, S>[]): void {
    if (this.#isStopped) return;
    for (const effect of effects) {
      if (this.#mayPrecedeWrites(effect)) this.#options.execute(effect);
      else this.#effects.push(effect);
    }
    this.#drain();
  }

  /** Gets whether an effect is a leader's request, and its term is stored. */
  #mayPrecedeWrites(effect: ConsensusEffect<C, S>): boolean {
    if (effect.type !== "send" || !isLeaderRequest(effect.message)) {
      return false;
    }
    const isStalled = this.#writes.length > 0 &&
      this.#options.now() - this.#writesBegunAt > MAX_WRITE_MS;
    if (isStalled) return false;
    return [...this.#writes, ...this.#effects].every((pending) =>
      pending.type === "write"
        ? pending.hardState === undefined && pending.snapshot === undefined
        : pending.type === "send" || pending.type === "apply"
    );
  }

  /** Drops all effects; a write that was begun goes on. */
  stop(): void {
    this.#isStopped = true;
    this.#effects = [];
  }

  #drain(): void {
    if (this.#isExecuting || this.#isStopped) return;
    this.#isExecuting = true;
    this.#execute()
      .catch((err) => {
        // A write of a node that was stopped meanwhile fails as well.
        if (!this.#isStopped) this.#options.onFailed(err);
      })
      .finally(() => {
        this.#isExecuting = false;
        if (this.#effects.length > 0) this.#drain();
      });
  }

  async #execute(): Promise<void> {
    const { write, execute, onWritten } = this.#options;
    while (this.#effects.length > 0) {
      const round = this.#effects;
      this.#effects = [];
      const writes = round
        .filter((e): e is WriteEffect<C, S> => e.type === "write");
      this.#writes = writes;
      this.#writesBegunAt = this.#options.now();
      if (writes.length > 0) await write(writes);
      this.#writes = [];
      if (this.#isStopped) return;
      for (const effect of round) execute(effect);
      if (writes.length > 0) onWritten(writes);
    }
  }
}

function isLeaderRequest<C, S>({ type }: ConsensusMessage<C, S>): boolean {
  return type === "appendRequest" || type === "snapshotPartRequest";
}

/** Simulated network with lost, duplicate and late messages and partitions. */
import type { Scheduler } from "../sim/scheduler.ts";

/** Faults of single messages. */
export interface MessageFaults {
  /** Fraction of messages that is lost, from 0 to 1. */
  readonly loss: number;
  /** Fraction of messages that is delivered twice, from 0 to 1. */
  readonly duplication: number;
  /** Maximum delay, in milliseconds; random delays reorder messages. */
  readonly maxDelayMs: number;
}

/** Numbers of injected faults by kind. */
export type FaultCounts = Map<string, number>;

/** Increments the number of faults of a kind. */
export function countFault(counts: FaultCounts, kind: string): void {
  counts.set(kind, (counts.get(kind) ?? 0) + 1);
}

/** Delivers messages between processes in virtual time. */
export class Network {
  readonly #scheduler: Scheduler;
  readonly #faults: MessageFaults;
  readonly #counts: FaultCounts;
  readonly #cuts = new Set<string>();

  /** Creates a network without partitions. */
  constructor(
    scheduler: Scheduler,
    options: { faults: MessageFaults; counts: FaultCounts },
  ) {
    this.#scheduler = scheduler;
    this.#faults = options.faults;
    this.#counts = options.counts;
  }

  /** Cuts one direction between two processes. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Restores one direction between two processes. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  /**
   * Partitions a process from others.
   * @param options - Whether messages from the others are lost as well.
   * @returns A function that restores both directions.
   */
  isolate(
    id: string,
    others: readonly string[],
    options: { isBoth: boolean },
  ): () => void {
    for (const other of others) {
      this.cut(id, other);
      if (options.isBoth) this.cut(other, id);
    }
    return () => {
      for (const other of others) {
        this.heal(id, other);
        this.heal(other, id);
      }
    };
  }

  /** Gets whether one process can reach another. */
  isConnected(from: string, to: string): boolean {
    return !this.#cuts.has(`${from}>${to}`);
  }

  /** Sends a message; it is lost where the link is cut now or on delivery. */
  send(link: { from: string; to: string }, deliver: () => void): void {
    const { loss, duplication } = this.#faults;
    if (!this.isConnected(link.from, link.to)) return;
    if (this.#scheduler.random() < loss) {
      countFault(this.#counts, "loss");
      return;
    }
    this.#deliver(link, deliver);
    if (this.#scheduler.random() >= duplication) return;
    countFault(this.#counts, "duplication");
    this.#deliver(link, deliver);
  }

  #deliver(link: { from: string; to: string }, deliver: () => void): void {
    const delay = this.#scheduler.between(0.5, this.#faults.maxDelayMs);
    this.#scheduler.after(delay, () => {
      if (this.isConnected(link.from, link.to)) deliver();
    });
  }
}

/** A network that loses, doubles, delays and cuts. */
import type { Scheduler } from "../sim/scheduler.ts";

/** Rates of faults of single messages, from 0 to 1. */
export interface MessageFaults {
  /** Part of messages that is lost. */
  readonly loss: number;
  /** Part of messages that arrives twice. */
  readonly duplication: number;
  /** Longest delay, in milliseconds; a spread reorders messages. */
  readonly maxDelayMs: number;
}

/** Counts of injected faults by kind. */
export type FaultCounts = Map<string, number>;

/** Adds one to the count of a kind. */
export function countFault(counts: FaultCounts, kind: string): void {
  counts.set(kind, (counts.get(kind) ?? 0) + 1);
}

/** Carries messages between named processes. */
export class Network {
  readonly #scheduler: Scheduler;
  readonly #faults: MessageFaults;
  readonly #counts: FaultCounts;
  readonly #cuts = new Set<string>();

  /** Creates a network without cuts. */
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

  /** Mends one direction between two processes. */
  mend(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  /**
   * Cuts a process off from others.
   * @returns Mends the links again.
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
        this.mend(id, other);
        this.mend(other, id);
      }
    };
  }

  /** Gets whether messages pass from one process to another. */
  passes(from: string, to: string): boolean {
    return !this.#cuts.has(`${from}>${to}`);
  }

  /** Sends a message. */
  send(link: { from: string; to: string }, deliver: () => void): void {
    const { loss, duplication } = this.#faults;
    if (!this.passes(link.from, link.to)) return;
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
      if (this.passes(link.from, link.to)) deliver();
    });
  }
}

/** Callers that wait until a quorum confirms that a replica leads. */
import type { ConsensusNode } from "../../core/consensus/mod.ts";

/** Options of {@link LeadershipWaiters}. */
export interface LeadershipWaitersOptions {
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
  /** Called to send heartbeats to the quorum at once. */
  readonly probe: () => void;
}

/** What decides on confirmations of leadership. */
export type LeadershipView = Pick<
  ConsensusNode<unknown, unknown>,
  "committed" | "term" | "hasCommittedOwnTerm" | "quorumContactAt"
>;

interface Waiter {
  readonly since: number;
  readonly index: number;
  readonly term: number;
  readonly resolve: (isConfirmed: boolean) => void;
}

/** Time in which confirmations of leadership are combined into one probe. */
const PROBE_DELAY_MS = 4;

/** Resolves confirmations once a quorum has answered and all is applied. */
export class LeadershipWaiters {
  readonly #options: LeadershipWaitersOptions;
  readonly #waiters = new Set<Waiter>();
  #probeTimer: NodeJS.Timeout | undefined;

  constructor(options: LeadershipWaitersOptions) {
    this.#options = options;
  }

  /**
   * Waits until a quorum has acknowledged the leader since the call.
   * @returns Whether it leads; false also if no quorum answers in time.
   */
  wait(
    node: LeadershipView | undefined,
    timeoutMs: number,
  ): Promise<boolean> {
    if (node === undefined || !node.hasCommittedOwnTerm) {
      return Promise.resolve(false);
    }
    const barrier = {
      since: this.#options.now(),
      index: node.committed,
      term: node.term,
    };
    return new Promise((resolve) => {
      const waiter: Waiter = {
        ...barrier,
        resolve: (isConfirmed) => {
          clearTimeout(timer);
          this.#waiters.delete(waiter);
          resolve(isConfirmed);
        },
      };
      const timer = setTimeout(() => waiter.resolve(false), timeoutMs);
      this.#waiters.add(waiter);
      this.#scheduleProbe();
    });
  }

  /**
   * Resolves the waiters that are decided.
   * @param applied - Index of the last applied entry.
   */
  settle(node: LeadershipView, applied: number): void {
    if (this.#waiters.size === 0) return;
    const contactAt = node.quorumContactAt(this.#options.now());
    for (const waiter of [...this.#waiters]) {
      const isLost = !node.hasCommittedOwnTerm || node.term !== waiter.term;
      if (isLost) waiter.resolve(false);
      const isApplied = applied >= waiter.index;
      if (contactAt >= waiter.since && isApplied) waiter.resolve(true);
    }
  }

  /** Resolves all waiters as not confirmed. */
  rejectAll(): void {
    clearTimeout(this.#probeTimer);
    this.#probeTimer = undefined;
    for (const waiter of [...this.#waiters]) waiter.resolve(false);
  }

  /** Schedules one probe of the quorum for all calls within a short time. */
  #scheduleProbe(): void {
    if (this.#probeTimer !== undefined) return;
    this.#probeTimer = setTimeout(() => {
      this.#probeTimer = undefined;
      this.#options.probe();
    }, PROBE_DELAY_MS);
  }
}

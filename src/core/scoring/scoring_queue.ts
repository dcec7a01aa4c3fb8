/** Decides when texts are scored, retried and abandoned. */

/** A complete text that waits for its score. */
export interface ScoringTask {
  readonly key: string;
  /** Name of the route of the scoring call; calls are limited by route. */
  readonly route: string;
  /** Time at which the score is due, in milliseconds. */
  readonly dueAt: number;
  /** Failed responses after which the text stays without a score. */
  readonly maxFailures: number;
}

/** Input of {@link ScoringQueue.takeDue}. */
export interface TakeInput {
  /** Current time, in milliseconds. */
  readonly now: number;
  /** Gets the number of calls that a route may have in flight. */
  readonly limitOf: (route: string) => number;
  /**
   * Gets the number of items that the group of a text is missing. A caller
   * waits for complete groups, so texts that complete one come first.
   */
  readonly missingOf: (key: string) => number;
}

/** How a scoring call ended. */
export interface ScoringOutcome {
  /** Number of responses in which a target ran the call and failed. */
  readonly failures: number;
}

/** Decision on a text after a call without a score. */
export const ScoringDecision = {
  Retry: "retry",
  GiveUp: "giveUp",
} as const;

/** One of the values of {@link ScoringDecision}. */
export type ScoringDecision =
  typeof ScoringDecision[keyof typeof ScoringDecision];

interface TaskState {
  readonly task: ScoringTask;
  isCalled: boolean;
  failures: number;
  /** Calls that ended without a score; they determine the backoff. */
  calls: number;
  notBefore: number;
}

const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/**
 * Holds the texts that wait for a score. Texts complete in bursts, and a
 * scoring service may have few slots, so calls are bounded by route: one that
 * fails or is full delays no other.
 *
 * @example
 * ```ts
 * queue.add({ key: "b1/i1", route: "r", dueAt: 5_000, maxFailures: 3 });
 * for (const task of queue.takeDue(input)) call(task);
 * ```
 */
export class ScoringQueue {
  readonly #states = new Map<string, TaskState>();
  readonly #inFlight = new Map<string, number>();

  /** Adds a text; has no effect if it is already held. */
  add(task: ScoringTask): this {
    if (this.#states.has(task.key)) return this;
    this.#states.set(task.key, {
      task,
      isCalled: false,
      failures: 0,
      calls: 0,
      notBefore: -Infinity,
    });
    return this;
  }

  /** Removes a text that is scored, abandoned or no longer needed. */
  remove(key: string): this {
    const state = this.#states.get(key);
    if (state?.isCalled) this.#countInFlight(state, -1);
    this.#states.delete(key);
    return this;
  }

  /** Removes all texts. */
  clear(): this {
    this.#states.clear();
    this.#inFlight.clear();
    return this;
  }

  /**
   * Takes the texts to call for now: those whose group is missing the fewest
   * items first, then by due time.
   */
  takeDue({ now, limitOf, missingOf }: TakeInput): ScoringTask[] {
    const due = [...this.#states.values()]
      .filter((state) => !state.isCalled && now >= state.notBefore)
      .map((state) => ({ state, missing: missingOf(state.task.key) }))
      .sort((a, b) =>
        a.missing - b.missing || a.state.task.dueAt - b.state.task.dueAt
      );
    const taken: ScoringTask[] = [];
    const limits = new Map<string, number>();
    for (const { state } of due) {
      const { route } = state.task;
      const limit = limits.get(route) ?? limitOf(route);
      limits.set(route, limit);
      if ((this.#inFlight.get(route) ?? 0) >= limit) continue;
      state.isCalled = true;
      this.#countInFlight(state, 1);
      taken.push(state.task);
    }
    return taken;
  }

  /**
   * Records that a call ended without a score. Only responses of targets that
   * ran it count towards abandoning it; refusals and lost connections do not.
   */
  onUnscored(
    key: string,
    outcome: ScoringOutcome,
    now: number,
  ): ScoringDecision {
    const state = this.#states.get(key);
    if (state === undefined) return ScoringDecision.GiveUp;
    this.#countInFlight(state, -1);
    state.isCalled = false;
    state.failures += outcome.failures;
    const backoffMs = FIRST_BACKOFF_MS * 2 ** Math.min(state.calls, 8);
    state.calls += 1;
    state.notBefore = now + Math.min(MAX_BACKOFF_MS, backoffMs);
    return state.failures >= state.task.maxFailures
      ? ScoringDecision.GiveUp
      : ScoringDecision.Retry;
  }

  #countInFlight({ task }: TaskState, change: 1 | -1): void {
    const count = (this.#inFlight.get(task.route) ?? 0) + change;
    this.#inFlight.set(task.route, count);
  }
}

/** The state of one item between its arrival and its end. */
import { type Verdict, Verdict as Verdicts } from "../verdict/mod.ts";
import { mergeVerdicts } from "../verdict/mod.ts";
import type { WorkItem } from "./work_item.ts";

/** Keeps attempts and verdict of one item. */
export class Flight {
  /** The item. */
  readonly item: WorkItem;
  /** Targets that have failed it. */
  readonly failedTargets = new Set<string>();
  /** Attempts started. */
  attempts = 0;
  /** Target that runs it now. */
  targetId: string | undefined;
  /** Start of the running attempt, in milliseconds. */
  startedAt = 0;
  /** Arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Time before which it is not placed again. */
  notBefore = 0;
  #verdict: Verdict = Verdicts.NotRun;

  /** Creates the state of a newly arrived item. */
  constructor(item: WorkItem, now: number) {
    this.item = item;
    this.arrivedAt = now;
  }

  /** Gets the verdict over all attempts. */
  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Adds the verdict of an attempt. */
  addVerdict(verdict: Verdict): this {
    this.#verdict = mergeVerdicts(this.#verdict, verdict);
    return this;
  }
}

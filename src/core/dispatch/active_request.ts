/** State of a request between its admission and its end. */
import { type Verdict, Verdict as Verdicts } from "../verdict/mod.ts";
import { mergeVerdicts } from "../verdict/mod.ts";
import type { WorkItem } from "./work_item.ts";

/** Tracks the attempts and the verdict of one request. */
export class ActiveRequest {
  /** Work item of the request. */
  readonly item: WorkItem;
  /** Targets on which an attempt failed. */
  readonly failedTargets = new Set<string>();
  /** Number of attempts started. */
  attempts = 0;
  /** Target that runs the request; undefined while it waits. */
  targetId: string | undefined;
  /** Start time of the latest attempt, in milliseconds. */
  startedAt = 0;
  /** Time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Earliest time of the next attempt, in milliseconds. */
  notBefore = 0;
  #verdict: Verdict = Verdicts.NotRun;

  /** Creates the state of a request that has just arrived. */
  constructor(item: WorkItem, now: number) {
    this.item = item;
    this.arrivedAt = now;
  }

  /** Gets the combined verdict of all attempts. */
  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Merges the verdict of an attempt into the combined verdict. */
  addVerdict(verdict: Verdict): this {
    this.#verdict = mergeVerdicts(this.#verdict, verdict);
    return this;
  }
}

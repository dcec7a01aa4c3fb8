/** Logs how far learners of a replicated log are behind. */
import type { ConsensusNode } from "../../core/consensus/mod.ts";
import type { Logger } from "../../logging/mod.ts";

/** Options of {@link LearnerMonitor}. */
export interface LearnerMonitorOptions {
  /** Name of the log. */
  readonly log: string;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

const LOG_INTERVAL_MS = 1_000;

/** Logs the learners that do not hold all committed entries, each second. */
export class LearnerMonitor {
  readonly #options: LearnerMonitorOptions;
  #loggedAt = -Infinity;

  constructor(options: LearnerMonitorOptions) {
    this.#options = options;
  }

  /** Checks the learners of a leader's log. */
  check<C, S>(node: ConsensusNode<C, S>): void {
    const { log, logger, now } = this.#options;
    if (now() - this.#loggedAt < LOG_INTERVAL_MS) return;
    for (const replica of node.members.learners) {
      const held = node.heldBy(replica);
      if (held >= node.committed) continue;
      this.#loggedAt = now();
      const { committed } = node;
      logger.event("learnerBehind", { log, replica, held, committed });
    }
  }
}

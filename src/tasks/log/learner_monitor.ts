/** Logs how far learners of a replicated log are. */
import type { ConsensusNode, ReplicaId } from "../../core/consensus/mod.ts";
import type { Logger } from "../../logging/mod.ts";

/** Options of {@link LearnerMonitor}. */
export interface LearnerMonitorOptions {
  /** Name of the log. */
  readonly log: string;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

/** A learner of the log. */
interface ObservedLearner {
  /** Time at which it was first seen. */
  readonly since: number;
  hasCaughtUp: boolean;
}

const LOG_INTERVAL_MS = 1_000;
const NOTHING_SENT = { bytes: 0, snapshots: 0 };

/**
 * Logs the learners that do not hold all committed entries, each second, and
 * what each was sent until it first held them.
 */
export class LearnerMonitor {
  readonly #options: LearnerMonitorOptions;
  readonly #learners = new Map<ReplicaId, ObservedLearner>();
  #loggedAt = -Infinity;

  constructor(options: LearnerMonitorOptions) {
    this.#options = options;
  }

  /** Checks the learners of a leader's log. */
  check<C, S>(node: ConsensusNode<C, S>): void {
    const { learners } = node.members;
    for (const replica of this.#learners.keys()) {
      if (!learners.includes(replica)) this.#learners.delete(replica);
    }
    for (const replica of learners) this.#checkCaughtUp(node, replica);
    this.#logBehind(node);
  }

  /** Forgets all learners, as another replica leads. */
  clear(): void {
    this.#learners.clear();
  }

  #checkCaughtUp<C, S>(node: ConsensusNode<C, S>, replica: ReplicaId): void {
    const now = this.#options.now();
    const learner = this.#learners.get(replica) ??
      { since: now, hasCaughtUp: false };
    this.#learners.set(replica, learner);
    if (learner.hasCaughtUp || !node.isCaughtUp(replica, now)) return;
    learner.hasCaughtUp = true;
    const { log, logger } = this.#options;
    const durationMs = Math.round(now - learner.since);
    const { bytes, snapshots } = node.sentTo(replica) ?? NOTHING_SENT;
    logger.event("learnerCaughtUp", {
      log,
      replica,
      durationMs,
      bytes,
      snapshots,
    });
  }

  #logBehind<C, S>(node: ConsensusNode<C, S>): void {
    const { log, logger, now } = this.#options;
    if (now() - this.#loggedAt < LOG_INTERVAL_MS) return;
    for (const replica of node.members.learners) {
      const held = node.heldBy(replica);
      if (held >= node.committed) continue;
      this.#loggedAt = now();
      const { committed } = node;
      const { bytes, snapshots } = node.sentTo(replica) ?? NOTHING_SENT;
      logger.event("learnerBehind", {
        log,
        replica,
        held,
        committed,
        bytes,
        snapshots,
      });
    }
  }
}

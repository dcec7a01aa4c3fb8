/** Changes the members of a replicated log as replicas are lost and found. */
import {
  type ConsensusNode,
  type Members,
  nextMembers,
} from "../../core/consensus/mod.ts";
import { LearnerMonitor } from "./learner_monitor.ts";
import type { LogDriverOptions } from "./log_driver_options.ts";

/** Options of {@link MemberRepair}. */
export interface MemberRepairOptions extends
  Pick<
    LogDriverOptions<never, never, never, never>,
    | "name"
    | "logger"
    | "now"
    | "presentReplicas"
    | "wantedVoters"
    | "wantedLearners"
    | "isLost"
    | "isRetiring"
  > {
  /** Proposes members to the log. */
  readonly propose: (members: Members) => void;
}

/** Decides on the next change of members, while a replica leads. */
export class MemberRepair {
  readonly #options: MemberRepairOptions;
  readonly #learners: LearnerMonitor;

  constructor(options: MemberRepairOptions) {
    const { name, logger, now } = options;
    this.#options = options;
    this.#learners = new LearnerMonitor({ log: name, logger, now });
  }

  /** Proposes the change that is due, if there is one. */
  run<C, S>(node: ConsensusNode<C, S> | undefined): void {
    if (node === undefined || !node.hasCommittedOwnTerm) {
      this.#learners.clear();
      return;
    }
    const { now, presentReplicas, wantedVoters } = this.#options;
    this.#learners.check(node);
    const next = nextMembers({
      members: node.members,
      present: presentReplicas(),
      wantedVoters: wantedVoters(),
      wantedLearners: this.#options.wantedLearners,
      isPermanentlyDown: this.#options.isLost,
      isRetiring: this.#options.isRetiring,
      isCaughtUp: (replica) => node.isCaughtUp(replica, now()),
      isPartial: (replica) => node.isPartial(replica),
    });
    if (next !== undefined) this.#options.propose(next);
  }
}

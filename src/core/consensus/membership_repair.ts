/** Decides which change of members repairs the control log. */
import type { Members } from "./members.ts";
import { instanceOf, type ReplicaId } from "./replica_id.ts";

/** What the decision looks at. */
export interface RepairQuestion {
  /** Current members. */
  readonly members: Members;
  /** Replica of each control instance that was heard of lately. */
  readonly present: readonly ReplicaId[];
  /** Voters wanted. */
  readonly wantedVoters: number;
  /** Gets whether a replica holds everything that is committed. */
  readonly isWhole: (replica: ReplicaId) => boolean;
}

/**
 * Gets the next members, one change from the current ones, or undefined.
 *
 * A disk that was lost comes back as a new replica: it is added as a learner;
 * once whole, the former replica of the instance is removed, and then the new
 * one counts.
 *
 * @example
 * ```ts
 * const next = nextMembers({ members, present, wantedVoters: 3, isWhole });
 * if (next !== undefined) node.proposeMembers(next, now);
 * ```
 */
export function nextMembers(question: RepairQuestion): Members | undefined {
  return withoutLostLearner(question) ??
    withNewLearner(question) ??
    withoutLostVoter(question) ??
    withPromoted(question);
}

function withoutLostLearner(question: RepairQuestion): Members | undefined {
  const { members, present } = question;
  const lost = members.learners.find((id) => isReplaced(id, present));
  if (lost === undefined) return undefined;
  const learners = members.learners.filter((id) => id !== lost);
  return { voters: members.voters, learners };
}

function withNewLearner(question: RepairQuestion): Members | undefined {
  const { members, present } = question;
  const known = [...members.voters, ...members.learners];
  const newcomer = present.find((id) => !known.includes(id));
  if (newcomer === undefined) return undefined;
  return {
    voters: members.voters,
    learners: [...members.learners, newcomer],
  };
}

function withoutLostVoter(question: RepairQuestion): Members | undefined {
  const { members, present, isWhole } = question;
  const lost = members.voters.find((id) => isReplaced(id, present));
  if (lost === undefined || members.voters.length <= 1) return undefined;
  const heir = members.learners
    .find((id) => instanceOf(id) === instanceOf(lost));
  if (heir === undefined || !isWhole(heir)) return undefined;
  const voters = members.voters.filter((id) => id !== lost);
  return { voters, learners: members.learners };
}

function withPromoted(question: RepairQuestion): Members | undefined {
  const { members, present, wantedVoters, isWhole } = question;
  if (members.voters.length >= wantedVoters) return undefined;
  const heir = members.learners
    .find((id) => present.includes(id) && isWhole(id));
  if (heir === undefined) return undefined;
  return {
    voters: [...members.voters, heir],
    learners: members.learners.filter((id) => id !== heir),
  };
}

function isReplaced(id: ReplicaId, present: readonly ReplicaId[]): boolean {
  return !present.includes(id) &&
    present.some((other) => instanceOf(other) === instanceOf(id));
}

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
  /** Learners wanted besides those that replace a voter; all where absent. */
  readonly wantedLearners?: number;
  /** Gets whether a replica is away for good; none where absent. */
  readonly isGone?: (replica: ReplicaId) => boolean;
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
    withoutGoneVoter(question) ??
    withPromoted(question);
}

function withoutLostLearner(question: RepairQuestion): Members | undefined {
  const { members, present } = question;
  const { isGone } = question;
  const lost = members.learners
    .find((id) => isReplaced(id, present) || isGone?.(id) === true);
  if (lost === undefined) return undefined;
  const learners = members.learners.filter((id) => id !== lost);
  return { voters: members.voters, learners };
}

function withNewLearner(question: RepairQuestion): Members | undefined {
  const { members, present } = question;
  const known = [...members.voters, ...members.learners];
  const newcomer = present.find((id) => !known.includes(id));
  if (newcomer === undefined || !needsLearner(question)) return undefined;
  return {
    voters: members.voters,
    learners: [...members.learners, newcomer],
  };
}

/** A voter that is missing needs an heir, whatever else is wanted. */
function needsLearner(question: RepairQuestion): boolean {
  const { members, present, isGone, wantedVoters } = question;
  const missing = members.voters
    .filter((id) => isReplaced(id, present) || isGone?.(id) === true).length;
  const needed = Math.max(0, wantedVoters - members.voters.length) + missing;
  const wanted = Math.max(needed, question.wantedLearners ?? Infinity);
  return members.learners.length < wanted;
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

/** A voter that stays away gives its place to a whole learner elsewhere. */
function withoutGoneVoter(question: RepairQuestion): Members | undefined {
  const { members, present, isGone, isWhole } = question;
  const gone = members.voters.find((id) => isGone?.(id) === true);
  if (gone === undefined || members.voters.length <= 1) return undefined;
  const hasHeir = members.learners
    .some((id) => present.includes(id) && isWhole(id));
  if (!hasHeir) return undefined;
  const voters = members.voters.filter((id) => id !== gone);
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

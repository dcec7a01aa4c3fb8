/**
 * Plans membership changes that restore the wanted replicas of a replicated
 * log.
 */
import type { Members } from "./members.ts";
import { instanceOf, type ReplicaId } from "./replica_id.ts";

/** Input of {@link nextMembers}. */
export interface RepairInput {
  /** Current members. */
  readonly members: Members;
  /** Replicas on instances that sent a heartbeat recently. */
  readonly present: readonly ReplicaId[];
  /** Wanted number of voters. */
  readonly wantedVoters: number;
  /**
   * Wanted number of learners, besides replacements for voters. Unlimited if
   * absent.
   */
  readonly wantedLearners?: number;
  /**
   * Gets whether a replica is considered permanently down. Defaults to none.
   */
  readonly isPermanentlyDown?: (replica: ReplicaId) => boolean;
  /** Gets whether a replica holds all committed entries. */
  readonly isCaughtUp: (replica: ReplicaId) => boolean;
}

/**
 * Gets the next membership, one change from the current one, or undefined if no
 * change is needed or possible.
 *
 * An instance that lost its disk rejoins as a new replica. It is added as a
 * learner; once it has caught up, the old replica of the instance is removed,
 * and then the learner is promoted to voter.
 *
 * @example
 * ```ts
 * const next = nextMembers(input);
 * if (next !== undefined) node.proposeMembers(next, now);
 * ```
 */
export function nextMembers(input: RepairInput): Members | undefined {
  return removeDownLearner(input) ??
    addLearner(input) ??
    removeReplacedVoter(input) ??
    removeDownVoter(input) ??
    promoteLearner(input);
}

function removeDownLearner(input: RepairInput): Members | undefined {
  const { members, present } = input;
  const { isPermanentlyDown } = input;
  const down = members.learners
    .find((id) => isReplaced(id, present) || isPermanentlyDown?.(id) === true);
  if (down === undefined) return undefined;
  const learners = members.learners.filter((id) => id !== down);
  return { voters: members.voters, learners };
}

function addLearner(input: RepairInput): Members | undefined {
  const { members, present } = input;
  const memberIds = [...members.voters, ...members.learners];
  const newReplica = present.find((id) => !memberIds.includes(id));
  if (newReplica === undefined || !needsLearner(input)) return undefined;
  return {
    voters: members.voters,
    learners: [...members.learners, newReplica],
  };
}

/**
 * Gets whether a learner is needed. A voter that is down needs a replacement,
 * regardless of the wanted number of learners.
 */
function needsLearner(input: RepairInput): boolean {
  const { members, present, isPermanentlyDown, wantedVoters } = input;
  const missing = members.voters
    .filter((id) => isReplaced(id, present) || isPermanentlyDown?.(id) === true)
    .length;
  const needed = Math.max(0, wantedVoters - members.voters.length) + missing;
  const wanted = Math.max(needed, input.wantedLearners ?? Infinity);
  return members.learners.length < wanted;
}

function removeReplacedVoter(input: RepairInput): Members | undefined {
  const { members, present, isCaughtUp } = input;
  const replaced = members.voters.find((id) => isReplaced(id, present));
  if (replaced === undefined || members.voters.length <= 1) return undefined;
  const successor = members.learners
    .find((id) => instanceOf(id) === instanceOf(replaced));
  if (successor === undefined || !isCaughtUp(successor)) return undefined;
  const voters = members.voters.filter((id) => id !== replaced);
  return { voters, learners: members.learners };
}

/**
 * Removes a voter that is permanently down once a caught-up learner can replace
 * it.
 */
function removeDownVoter(input: RepairInput): Members | undefined {
  const { members, present, isPermanentlyDown, isCaughtUp } = input;
  const down = members.voters.find((id) => isPermanentlyDown?.(id) === true);
  if (down === undefined || members.voters.length <= 1) return undefined;
  const hasReplacement = members.learners
    .some((id) => present.includes(id) && isCaughtUp(id));
  if (!hasReplacement) return undefined;
  const voters = members.voters.filter((id) => id !== down);
  return { voters, learners: members.learners };
}

function promoteLearner(input: RepairInput): Members | undefined {
  const { members, present, wantedVoters, isCaughtUp } = input;
  if (members.voters.length >= wantedVoters) return undefined;
  const learner = members.learners
    .find((id) => present.includes(id) && isCaughtUp(id));
  if (learner === undefined) return undefined;
  return {
    voters: [...members.voters, learner],
    learners: members.learners.filter((id) => id !== learner),
  };
}

function isReplaced(id: ReplicaId, present: readonly ReplicaId[]): boolean {
  return !present.includes(id) &&
    present.some((other) => instanceOf(other) === instanceOf(id));
}

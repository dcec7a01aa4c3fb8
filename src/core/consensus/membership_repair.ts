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
  /**
   * Gets whether a replica runs and is to be removed. Defaults to none; a
   * retiring replica is not among {@link RepairInput.present}.
   */
  readonly isRetiring?: (replica: ReplicaId) => boolean;
  /** Gets whether a replica holds all committed entries. */
  readonly isCaughtUp: (replica: ReplicaId) => boolean;
  /**
   * Gets whether a replica lacks data that its state refers to. Defaults to none.
   */
  readonly isPartial?: (replica: ReplicaId) => boolean;
}

/**
 * Gets the next membership, one change from the current one, or undefined if no
 * change is needed or possible.
 *
 * An instance that lost its disk rejoins as a new replica. A learner is added;
 * once it has caught up, the old replica of the instance is removed, and then
 * the learner is promoted to voter. A retiring replica still votes, so its
 * successor is promoted first: the group tolerates a further loss all the while.
 *
 * A replica that lacks data votes like any other. One that has data is not removed
 * before others have it, unless its disk was lost.
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
    removeLostVoter(input) ??
    promoteLearner(input) ??
    removeRetiringVoter(input);
}

function removeDownLearner(input: RepairInput): Members | undefined {
  const { members, isRetiring } = input;
  const down = members.learners
    .find((id) => isPermanentlyLost(id, input) || isRetiring?.(id) === true);
  if (down === undefined) return undefined;
  const learners = members.learners.filter((id) => id !== down);
  return { voters: members.voters, learners };
}

function addLearner(input: RepairInput): Members | undefined {
  const { members } = input;
  const newReplica = findNewReplica(input);
  if (newReplica === undefined || !needsLearner(input)) return undefined;
  return {
    voters: members.voters,
    learners: [...members.learners, newReplica],
  };
}

/**
 * Finds a replica to add, first of all that of an instance whose disk was lost:
 * another instance may lose its disk next, and the learner with it.
 */
function findNewReplica(
  { members, present }: RepairInput,
): ReplicaId | undefined {
  const memberIds = [...members.voters, ...members.learners];
  const candidates = present.filter((id) => !memberIds.includes(id));
  const voters = new Set(members.voters.map(instanceOf));
  return candidates.find((id) => voters.has(instanceOf(id))) ?? candidates[0];
}

/**
 * Gets whether a learner is needed. A voter that is down needs a replacement,
 * regardless of the wanted number of learners.
 */
function needsLearner(input: RepairInput): boolean {
  const { members, wantedVoters } = input;
  const missing = members.voters.length - stayingVoters(input).length;
  const needed = Math.max(0, wantedVoters - members.voters.length) + missing;
  const wanted = Math.max(needed, input.wantedLearners ?? Infinity);
  return members.learners.length < wanted;
}

/**
 * Removes a voter that is down for good, or whose disk was lost, once a
 * caught-up learner can replace it. The learner may be of any instance: waiting
 * for one of the same instance would leave the lost disk unrepaired while
 * another learner takes the place.
 */
function removeLostVoter(input: RepairInput): Members | undefined {
  const { members, present, isCaughtUp } = input;
  if (members.voters.length <= 1) return undefined;
  const lost = members.voters
    .find((id) => isPermanentlyLost(id, input) && isDispensable(id, input));
  const hasReplacement = members.learners
    .some((id) => present.includes(id) && isCaughtUp(id));
  if (lost === undefined || !hasReplacement) return undefined;
  const voters = members.voters.filter((id) => id !== lost);
  return { voters, learners: members.learners };
}

function promoteLearner(input: RepairInput): Members | undefined {
  const { members, present, wantedVoters, isCaughtUp, isRetiring } = input;
  const retiring = members.voters
    .filter((id) => isRetiring?.(id) === true).length;
  if (members.voters.length - retiring >= wantedVoters) return undefined;
  const learner = members.learners
    .find((id) => present.includes(id) && isCaughtUp(id));
  if (learner === undefined) return undefined;
  return {
    voters: [...members.voters, learner],
    learners: members.learners.filter((id) => id !== learner),
  };
}

/** Removes a retiring voter once enough others have a vote. */
function removeRetiringVoter(input: RepairInput): Members | undefined {
  const { members, wantedVoters, isRetiring } = input;
  const retiring = members.voters.find((id) => isRetiring?.(id) === true);
  const successors = stayingVoters(input)
    .filter((id) => input.isPartial?.(id) !== true);
  const hasSuccessor = successors.length >= wantedVoters;
  if (retiring === undefined || !hasSuccessor) return undefined;
  const voters = members.voters.filter((id) => id !== retiring);
  return { voters, learners: members.learners };
}

/** Gets whether no data goes with a voter that other members lack. */
function isDispensable(id: ReplicaId, input: RepairInput): boolean {
  const { members, present, isPartial } = input;
  if (isReplaced(id, present) || isPartial?.(id) === true) return true;
  return [...members.voters, ...members.learners].some((other) =>
    other !== id && present.includes(other) && isPartial?.(other) !== true
  );
}

/** Gets the voters that neither are lost nor retire. */
function stayingVoters(input: RepairInput): ReplicaId[] {
  const { members, isRetiring } = input;
  return members.voters
    .filter((id) => !isPermanentlyLost(id, input) && isRetiring?.(id) !== true);
}

/** Gets whether a replica is down for good, or its disk was lost. */
function isPermanentlyLost(
  id: ReplicaId,
  { present, isPermanentlyDown }: RepairInput,
): boolean {
  return isReplaced(id, present) || isPermanentlyDown?.(id) === true;
}

function isReplaced(id: ReplicaId, present: readonly ReplicaId[]): boolean {
  return !present.includes(id) &&
    present.some((other) => instanceOf(other) === instanceOf(id));
}

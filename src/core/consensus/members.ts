/** Membership of a replicated log. */
import type { ReplicaId } from "./replica_id.ts";

/** Voters and learners of a replicated log. */
export interface Members {
  /** Replicas that count towards the quorum. */
  readonly voters: readonly ReplicaId[];
  /** Replicas that receive the log but do not count towards the quorum. */
  readonly learners: readonly ReplicaId[];
}

/** Gets the number of voters that form a quorum. */
export function quorumSize(members: Members): number {
  return Math.floor(members.voters.length / 2) + 1;
}

/**
 * Gets the highest value that a quorum of voters has reached.
 *
 * @example
 * ```ts
 * quorumValue({ voters: ["a", "b", "c"], learners: [] }, (v) => values[v]);
 * ```
 */
export function quorumValue(
  members: Members,
  valueOf: (voter: ReplicaId) => number,
): number {
  const values = members.voters.map(valueOf).sort((a, b) => b - a);
  return values[quorumSize(members) - 1] ?? -Infinity;
}

/** Gets all replicas, voters first. */
export function allMembers(members: Members): readonly ReplicaId[] {
  return [...members.voters, ...members.learners];
}

/**
 * Gets whether two memberships differ by at most one voter and the new one has
 * voters.
 */
export function isSingleChange(from: Members, to: Members): boolean {
  const added = to.voters.filter((id) => !from.voters.includes(id)).length;
  const removed = from.voters.filter((id) => !to.voters.includes(id)).length;
  return added + removed <= 1 && to.voters.length > 0;
}

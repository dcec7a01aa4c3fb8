/** The replicas that hold the log. */
import type { ReplicaId } from "./replica_id.ts";

/** Voters and learners of the log. */
export interface Members {
  /** Replicas that count for a quorum. */
  readonly voters: readonly ReplicaId[];
  /** Replicas that receive the log and do not count. */
  readonly learners: readonly ReplicaId[];
}

/** Gets how many voters make a quorum. */
export function quorumSize(members: Members): number {
  return Math.floor(members.voters.length / 2) + 1;
}

/**
 * Gets the greatest value that a quorum of the voters has reached.
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

/** Gets whether one change leads from some members to others. */
export function isSingleChange(from: Members, to: Members): boolean {
  const added = to.voters.filter((id) => !from.voters.includes(id)).length;
  const removed = from.voters.filter((id) => !to.voters.includes(id)).length;
  return added + removed <= 1 && to.voters.length > 0;
}

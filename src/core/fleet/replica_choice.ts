/** Choice of the replica that serves reads of an instance. */
import type { RosterEntry } from "./fleet_member.ts";

/** Input of {@link chooseReplica}. */
export interface ReplicaChoiceInput {
  /** Members of the role that holds the replicas. */
  readonly members: readonly RosterEntry[];
  /** Data centre of the reading instance. */
  readonly dataCentre: string;
  /** Number by which readers spread over several replicas of a data centre. */
  readonly spread: number;
  /** Gets whether an instance failed to answer a short time ago. */
  readonly isAvoided: (id: string) => boolean;
}

/**
 * Chooses a replica with a vote in the reader's data centre other than the
 * leader; undefined if there is none. It has nearly all results, and reading
 * from it unloads the leader and the links between data centres.
 *
 * @example
 * ```ts
 * chooseReplica({ members, dataCentre: "a", spread: 7, isAvoided: () => false });
 * ```
 */
export function chooseReplica(input: ReplicaChoiceInput): string | undefined {
  const { members, dataCentre, spread, isAvoided } = input;
  const candidates = members
    .filter((member) =>
      member.isVoter === true && member.dataCentre === dataCentre &&
      member.leadsTerm === undefined && !isAvoided(member.id)
    )
    .map(({ id }) => id)
    .sort();
  if (candidates.length === 0) return undefined;
  return candidates[spread % candidates.length];
}

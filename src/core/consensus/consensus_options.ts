/** What a replica of the log is created from. */
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { ReplicaId } from "./replica_id.ts";

/** Times of the protocol, in milliseconds of the local clock. */
export interface ConsensusTimes {
  /** Time between two signs of life of a leader. */
  readonly heartbeatMs: number;
  /** Shortest time without a leader before an election. */
  readonly electionMs: number;
  /** Greatest difference in rate between two clocks, as a share. */
  readonly clockRateError: number;
}

/** What a replica had stored when it stopped. */
export interface StoredLog<C, S> {
  /** Term and vote. */
  readonly hardState: HardState;
  /** Snapshot. */
  readonly snapshot: LogSnapshot<S>;
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry<C>[];
}

/** Checks that a test may take out, to show that the soak misses them. */
export interface ConsensusGuards {
  /** Voters refuse while they hear a leader. */
  readonly leaderStickiness: boolean;
  /** A vote is stored before it is told. */
  readonly voteStored: boolean;
  /** A replica that lost its disk does not go on as its old self. */
  readonly incarnationCheck: boolean;
  /** Entries of former terms commit only with one of the own term. */
  readonly commitOwnTermOnly: boolean;
  /** A learner becomes a voter only when it holds all that is committed. */
  readonly learnerWhole: boolean;
}

/** All checks in place. */
export const ALL_GUARDS: ConsensusGuards = {
  leaderStickiness: true,
  voteStored: true,
  incarnationCheck: true,
  commitOwnTermOnly: true,
  learnerWhole: true,
};

/** Options of {@link ConsensusNode}. */
export interface ConsensusNodeOptions<C, S> {
  /** This replica. */
  readonly self: ReplicaId;
  /** What it had stored. */
  readonly stored: StoredLog<C, S>;
  /** Times. */
  readonly times: ConsensusTimes;
  /** Gets a random number from 0 to 1. */
  readonly random: () => number;
  /** Time of the start, by the local clock. */
  readonly now: number;
  /** Checks in place; all where absent. */
  readonly guards?: ConsensusGuards;
  /** Gets about how many bytes a command takes; none counts where absent. */
  readonly sizeOf?: (command: C) => number;
}

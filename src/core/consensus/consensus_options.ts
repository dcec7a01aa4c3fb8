/** Options of a replica of a replicated log. */
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { SnapshotDivider } from "./snapshot_parts.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { StateReferences } from "./state_references.ts";

/** Timing of the protocol, in milliseconds of the local clock. */
export interface ConsensusTiming {
  /** Interval between heartbeats of a leader. */
  readonly heartbeatMs: number;
  /** Minimum election timeout. Jitter of up to 100 % is added. */
  readonly electionMs: number;
  /**
   * Maximum time that followers add to the election timeout for a leader whose
   * process is slow. Defaults to none.
   */
  readonly maxElectionDelayMs?: number;
  /** Maximum difference in rate between two clocks, as a fraction. */
  readonly clockRateError: number;
}

/** Persistent state of a replica. */
export interface StoredLog<C, S> {
  /** Current term and vote. */
  readonly hardState: HardState;
  /** Latest snapshot. */
  readonly snapshot: LogSnapshot<S>;
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry<C>[];
}

/**
 * Safety checks. A test may disable one to show that the soak test detects its
 * absence.
 */
export interface ConsensusGuards {
  /** Voters reject vote requests while they are in contact with a leader. */
  readonly leaderStickiness: boolean;
  /** A vote is persisted before the reply is sent. */
  readonly voteStored: boolean;
  /** A replica that lost its disk must not resume under its former identity. */
  readonly incarnationCheck: boolean;
  /**
   * Entries of earlier terms commit only together with an entry of the leader's
   * own term.
   */
  readonly commitOwnTermOnly: boolean;
  /** A learner becomes a voter only when it holds all committed entries. */
  readonly learnerCaughtUp: boolean;
}

/** Enables all safety checks. */
export const ALL_GUARDS: ConsensusGuards = {
  leaderStickiness: true,
  voteStored: true,
  incarnationCheck: true,
  commitOwnTermOnly: true,
  learnerCaughtUp: true,
};

/** Options of {@link ConsensusNode}. */
export interface ConsensusNodeOptions<C, S> {
  /** Identity of this replica. */
  readonly self: ReplicaId;
  /** State loaded from disk. */
  readonly stored: StoredLog<C, S>;
  /** Timing of the protocol. */
  readonly times: ConsensusTiming;
  /** Random number generator with the range [0, 1). */
  readonly random: () => number;
  /** Start time, in milliseconds of the local clock. */
  readonly now: number;
  /** Enabled safety checks. Defaults to all. */
  readonly guards?: ConsensusGuards;
  /** Estimates the size of a command in bytes; by default, of any value. */
  readonly sizeOf?: (command: C) => number;
  /** Gets the form in which the log holds a command; by default, as it is. */
  readonly hold?: (command: C) => C;
  /** Divides snapshots for sending; by default, into one part. */
  readonly divider?: SnapshotDivider<S>;
  /**
   * References to data that replicas fetch from each other; by default, snapshots
   * hold all data.
   */
  readonly references?: StateReferences<C, S>;
}

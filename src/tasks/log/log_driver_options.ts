/** Options of the driver of a replicated log. */
import type {
  ConsensusMessage,
  ConsensusTiming,
  LogEntry,
  LogSnapshot,
  ReplicaId,
  SnapshotDivider,
} from "../../core/consensus/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { TextForms } from "../storage/mod.ts";
import type { StateFilesOpener } from "./state_files.ts";
import type { StateMachine } from "./state_machine.ts";

/** Options of `LogDriver`. */
export interface LogDriverOptions<C, S, A, M extends StateMachine<C, S, A>> {
  /** ID of this instance. */
  readonly id: string;
  /** Data folder of the instance. */
  readonly dataFolder: string;
  /** Gets the desired number of voters. */
  readonly wantedVoters: () => number;
  /** Name of the log, which is also the name of its folder. */
  readonly name: string;
  /** Creates the state machine in its initial state. */
  readonly createState: () => M;
  /** Number of entries above which the log is compacted. */
  readonly compactEntries?: number;
  /** Size of the entries above which the log is compacted, in bytes. */
  readonly compactBytes?: number;
  /** Estimates the size of a command in bytes; by default, of any value. */
  readonly sizeOf?: (command: C) => number;
  /** Gets the form in which the log holds a command; by default, as it is. */
  readonly hold?: (command: C) => C;
  /** Forms of texts in what is read from the store; by default, strings. */
  readonly forms?: TextForms;
  /** Divides snapshots for sending; by default, into one part. */
  readonly divider?: SnapshotDivider<S>;
  /**
   * Gets a snapshot with references in place of data, which replicas fetch from
   * each other; by default, snapshots are sent with all data.
   */
  readonly detach?: (snapshot: S) => S;
  /** Opens files for parts of the state; by default, memory holds all of it. */
  readonly openFiles?: StateFilesOpener<S>;
  /** Heartbeat and election times. */
  readonly times: ConsensusTiming;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
  /** Sends a message to an instance; it may be lost. */
  readonly send: (
    to: string,
    message: ConsensusMessage<C, S>,
  ) => void;
  /** Called to keep a link to a member's instance; by default, none is kept. */
  readonly keepLink?: (instance: string) => void;
  /** Gets the replicas that are reachable now. */
  readonly presentReplicas: () => readonly string[];
  /**
   * Desired number of learners in addition to those that replace a voter;
   * unlimited by default.
   */
  readonly wantedLearners?: number;
  /** Checks whether a replica is lost for good; by default, none is. */
  readonly isLost?: (replica: ReplicaId) => boolean;
  /** Gets whether a running replica is to be removed. Defaults to none. */
  readonly isRetiring?: (replica: ReplicaId) => boolean;
  /** Called for each applied entry, with the result if it is a command. */
  readonly onApplied: (
    entry: LogEntry<C>,
    result: A | undefined,
  ) => void;
  /** Called when the state has been loaded from a snapshot, also at start. */
  readonly onRestored: (snapshot: LogSnapshot<S>) => void;
  /** Called when this replica becomes leader or ceases to be. */
  readonly onRole: (isLeader: boolean) => void;
}

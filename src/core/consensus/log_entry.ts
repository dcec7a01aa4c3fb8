/** Entries and snapshots of the log. */
import type { Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";

/** Content of an entry. */
export type EntryContent<C> =
  /** First entry of a leader: commits what came before it. */
  | { readonly type: "noop" }
  | { readonly type: "command"; readonly command: C }
  | { readonly type: "members"; readonly members: Members };

/** An entry of the log. */
export interface LogEntry<C> {
  /** Position, from 1. */
  readonly index: number;
  /** Term of the leader that added it. */
  readonly term: number;
  /** Content. */
  readonly content: EntryContent<C>;
}

/** State of the log's application up to an entry. */
export interface LogSnapshot<S> {
  /** Position of the last entry that the state includes. */
  readonly index: number;
  /** Term of that entry. */
  readonly term: number;
  /** Members as of that entry. */
  readonly members: Members;
  /** State of the application. */
  readonly state: S;
}

/** What a replica must remember besides the log. */
export interface HardState {
  /** Greatest term seen. */
  readonly term: number;
  /** Replica that has its vote in that term. */
  readonly votedFor: ReplicaId | undefined;
}

/** Entries and snapshots of a replicated log. */
import type { Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";

/** Content of a log entry. */
export type EntryContent<C> =
  /** First entry of a new leader; commits the entries of earlier terms. */
  | { readonly type: "noop" }
  | { readonly type: "command"; readonly command: C }
  | { readonly type: "members"; readonly members: Members };

/** An entry of a replicated log. */
export interface LogEntry<C> {
  /** Index in the log, from 1. */
  readonly index: number;
  /** Term of the leader that appended the entry. */
  readonly term: number;
  readonly content: EntryContent<C>;
}

/** Application state up to and including a log entry. */
export interface LogSnapshot<S> {
  /** Index of the last entry included. */
  readonly index: number;
  /** Term of the last entry included. */
  readonly term: number;
  /** Members as of the last entry included. */
  readonly members: Members;
  /** Application state. */
  readonly state: S;
}

/** Persistent state besides the log. */
export interface HardState {
  /** Highest term seen. */
  readonly term: number;
  /** Candidate that received this replica's vote in that term. */
  readonly votedFor: ReplicaId | undefined;
}

/** A snapshot without its state. */
export type SnapshotHead = Omit<LogSnapshot<unknown>, "state">;

/** Messages that carry the applied control log to every instance. */
import type { ControlCommand, ControlSnapshot } from "../control/mod.ts";

/** An applied position of the control log. */
export interface FeedEntry {
  /** Position in the log. */
  readonly index: number;
  /** Command; undefined for entries that change no state. */
  readonly command?: ControlCommand;
}

/** A ledger process that gave a sign of life. */
export interface PresentProcess {
  /** Process, as views name it. */
  readonly process: string;
  /** Its data centre. */
  readonly dataCentre: string;
}

/** A position that is in force at all holders of a home lease. */
export interface HomeConfirmation {
  /** Data centre. */
  readonly dataCentre: string;
  /** Position. */
  readonly inForce: number;
}

/** A subscriber asks for what it lacks, and for its lease. */
export interface FeedRenew {
  readonly type: "renew";
  readonly from: string;
  /** Time of sending, by the sender's clock; echoed. */
  readonly at: number;
  /** Greatest position that the sender has applied. */
  readonly applied: number;
  /** Least position in force at the sender and all below it. */
  readonly inForce: number;
  /** What home data centres have confirmed, at the sender and below it. */
  readonly homes: readonly HomeConfirmation[];
  /** Ledger processes that gave a sign of life, at the sender and below. */
  readonly present: readonly PresentProcess[];
}

/** Brings entries, and renews the leases. */
export interface FeedGrant {
  readonly type: "grant";
  readonly from: string;
  /** Sending time of the renewal that it answers. */
  readonly at: number;
  /** Length of the configuration lease, in milliseconds; 0 for none. */
  readonly leaseMs: number;
  /** Length of the home lease, in milliseconds; 0 for none. */
  readonly homeLeaseMs: number;
  /** State that replaces the receiver's, where entries are missing. */
  readonly snapshot?: {
    readonly index: number;
    readonly state: ControlSnapshot;
  };
  /** Entries after the receiver's position. */
  readonly entries: readonly FeedEntry[];
}

/** A message of the feed. */
export type FeedMessage = FeedRenew | FeedGrant;

/** Messages that distribute the applied control log to all instances. */
import type { ControlCommand, ControlSnapshot } from "../control/mod.ts";

/** An applied entry of the control log. */
export interface FeedEntry {
  /** Index in the control log. */
  readonly index: number;
  /** Command; undefined for an entry that does not change the state. */
  readonly command?: ControlCommand;
}

/** A ledger process that sent a heartbeat. */
export interface PresentProcess {
  /** Process identifier, as used in ledger views. */
  readonly process: string;
  readonly dataCentre: string;
}

/**
 * Control log index that is in force at all holders of a home lease of a data
 * centre.
 */
export interface HomeConfirmation {
  readonly dataCentre: string;
  /** Lowest index in force at these holders. */
  readonly inForce: number;
}

/** Sent by a subscriber to request missing entries and to renew its leases. */
export interface FeedRenew {
  readonly type: "renew";
  readonly from: string;
  /** Send time by the sender's clock, in milliseconds. Echoed in the grant. */
  readonly at: number;
  /** Highest index applied by the sender. */
  readonly applied: number;
  /** Lowest index in force at the sender and all its downstream instances. */
  readonly inForce: number;
  /**
   * Confirmations of home data centres, from the sender and its downstream
   * instances.
   */
  readonly homes: readonly HomeConfirmation[];
  /**
   * Ledger processes that sent a heartbeat to the sender or its downstream
   * instances.
   */
  readonly present: readonly PresentProcess[];
}

/** Delivers entries and renews leases. */
export interface FeedGrant {
  readonly type: "grant";
  readonly from: string;
  /** Send time of the renewal that this grant answers. */
  readonly at: number;
  /** Duration of the configuration lease in milliseconds; 0 if not granted. */
  readonly leaseMs: number;
  /** Duration of the home lease in milliseconds; 0 if not granted. */
  readonly homeLeaseMs: number;
  /**
   * State that replaces the recipient's state if its next entries are no longer
   * held.
   */
  readonly snapshot?: {
    readonly index: number;
    readonly state: ControlSnapshot;
  };
  /** Entries that follow the recipient's applied index. */
  readonly entries: readonly FeedEntry[];
}

/** A message of the feed. */
export type FeedMessage = FeedRenew | FeedGrant;

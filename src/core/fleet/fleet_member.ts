/**
 * Members of a fleet whose instances discover each other through seed
 * addresses.
 */

/** Roles of an instance. */
export const FleetRole = {
  Entry: "entry",
  Control: "control",
  Ledger: "ledger",
} as const;

/** One of the values of {@link FleetRole}. */
export type FleetRole = typeof FleetRole[keyof typeof FleetRole];

/**
 * Sequence number of a change, valid within one incarnation of its publisher.
 */
export interface ChangeSequence {
  /** Incarnation of the publisher. */
  readonly life: string;
  /** Sequence number of the change. */
  readonly change: number;
}

/** Status that an instance publishes about itself once a second. */
export interface FleetMember {
  /** Name of the machine, as known to operators. */
  readonly name: string;
  readonly dataCentre: string;
  readonly role: FleetRole;
  /**
   * Replica of the log that belongs to the role; undefined if there is none.
   */
  readonly replica: string | undefined;
  /** Term in which that replica leads; undefined if it does not lead. */
  readonly leadsTerm: number | undefined;
  /**
   * Whether that replica has a vote, and so stores all committed entries;
   * absent on instances without one, and on those of an earlier build.
   */
  readonly isVoter?: boolean | undefined;
  /** Revision of the policy that the instance holds; 0 for none. */
  readonly policyRevision: number;
  /**
   * Version of the evacuations that the instance applies; undefined if it has
   * just started, or its build knows none.
   */
  readonly evacuationVersion?: number | undefined;
  /** Last target change that the instance has applied, by publisher. */
  readonly targetsSeen: Readonly<Record<string, ChangeSequence>>;
}

/** Status of a member, as forwarded by other instances. */
export interface RosterEntry {
  /** Identity of the instance: its address without the port. */
  readonly id: string;
  /** Name of the machine, as known to operators. */
  readonly name: string;
  readonly role: FleetRole;
  readonly dataCentre: string;
  readonly leadsTerm: number | undefined;
  /** See {@link FleetMember.isVoter}. */
  readonly isVoter?: boolean | undefined;
}

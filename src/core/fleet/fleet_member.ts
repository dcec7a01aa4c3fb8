/** An instance of a fleet that finds itself by seeds. */

import type { ChangeMark } from "./fleet_notice.ts";

/** What an instance does. */
export const FleetRole = {
  Entry: "entry",
  Control: "control",
  Ledger: "ledger",
} as const;

/** One of the values of {@link FleetRole}. */
export type FleetRole = typeof FleetRole[keyof typeof FleetRole];

/** What an instance tells of itself, once a second. */
export interface FleetMember {
  /** Name by which operators know the machine. */
  readonly name: string;
  readonly dataCentre: string;
  readonly role: FleetRole;
  /** Replica of the log that its role keeps; undefined for none. */
  readonly replica: string | undefined;
  /** Whether that replica leads, and in which term. */
  readonly leadsTerm: number | undefined;
  /** Revision of the policy that it holds; 0 for none. */
  readonly policyRevision: number;
  /** Last change of targets that it has taken in, by their teller. */
  readonly targetsSeen: Readonly<Record<string, ChangeMark>>;
}

/** A member as others tell of it. */
export interface RosterEntry {
  /** Identity of the instance: its address without the port. */
  readonly id: string;
  readonly role: FleetRole;
  readonly dataCentre: string;
  readonly leadsTerm: number | undefined;
}

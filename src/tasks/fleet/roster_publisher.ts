/** Publishes the members of the fleet to all instances. */
import {
  FleetRole,
  type FleetState,
  type RosterEntry,
} from "../../core/fleet/mod.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link RosterPublisher}. */
export interface RosterPublisherOptions {
  readonly node: FleetNode;
  readonly state: () => FleetState;
  /** Gets the term that this instance leads; undefined unless it leads. */
  readonly leadsTerm: () => number | undefined;
}

/**
 * Number of calls of {@link RosterPublisher.send} after which an
 * unchanged roster is sent again.
 */
const ROSTER_RESEND_ROUNDS = 15;
/** Number of calls between rosters that differ in their senders alone. */
const SENDERS_ROUNDS = 5;
/** Roles that receive policy and targets. */
export const FOLLOWER_ROLES: readonly FleetRole[] = [
  FleetRole.Entry,
  FleetRole.Ledger,
];
/** Roles that hold a log. */
export const LOG_ROLES: readonly FleetRole[] = [
  FleetRole.Control,
  FleetRole.Ledger,
];

/** Sends the linked members and senders to all roles. */
export class RosterPublisher {
  readonly #options: RosterPublisherOptions;
  #sent = "";
  #sentMembers = "";
  #sentRound = 0;
  #round = 0;

  constructor(options: RosterPublisherOptions) {
    this.#options = options;
  }

  /**
   * Sends the roster if it has changed, and at intervals of calls. Senders come
   * and go with each restart, so changes of them are sent together.
   */
  send(): void {
    const { node, state } = this.#options;
    const members = this.#members();
    const retiring = [...state().retiring.keys()];
    this.#round += 1;
    const linked = this.#linkedSenders();
    const senders = [...new Set([...linked, ...node.senders])].sort();
    const roster = JSON.stringify({ members, retiring, senders });
    const listed = JSON.stringify({ members, retiring });
    const rounds = this.#round - this.#sentRound;
    const isUrgent = listed !== this.#sentMembers;
    const isDue = rounds >= ROSTER_RESEND_ROUNDS ||
      (roster !== this.#sent && rounds >= SENDERS_ROUNDS);
    if (!isUrgent && !isDue) return;
    this.#sent = roster;
    this.#sentMembers = listed;
    this.#sentRound = this.#round;
    for (const role of Object.values(FleetRole)) {
      const known = role === FleetRole.Control ? linked : senders;
      const notice = { type: "roster", members, retiring } as const;
      node.notifyRole(role, { ...notice, senders: known });
    }
  }

  #linkedSenders(): string[] {
    const { node } = this.#options;
    return FOLLOWER_ROLES.flatMap((role) =>
      [...node.linkedMembers(role)].map(({ id }) => id)
    );
  }

  #members(): RosterEntry[] {
    const { node, leadsTerm } = this.#options;
    const { id, name, dataCentre } = node.settings;
    const own: RosterEntry = {
      id,
      name,
      role: FleetRole.Control,
      dataCentre,
      leadsTerm: leadsTerm(),
    };
    const others = LOG_ROLES.flatMap((role) =>
      node.linkedMembers(role).map(({ id: memberId, member }) => ({
        id: memberId,
        name: member.name,
        role,
        dataCentre: member.dataCentre,
        leadsTerm: member.leadsTerm,
        isVoter: member.isVoter,
      }))
    );
    return [own, ...others].sort((a, b) => a.id < b.id ? -1 : 1);
  }
}

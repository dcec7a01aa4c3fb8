/** Members of a fleet, as known to one instance. */
import {
  type FleetMember,
  type FleetRole,
  type RosterEntry,
} from "./fleet_member.ts";

interface TrackedMember {
  readonly entry: RosterEntry;
  readonly lastSeenAt: number;
}

/** Time after which a member that was not reported counts as absent. */
const PRESENCE_TIMEOUT_MS = 6_000;
/** Time after which a member that was not reported is removed. */
const EXPIRY_MS = 60_000;

/**
 * Merges the status that members publish with the status forwarded by others.
 */
export class Roster {
  readonly #members = new Map<string, TrackedMember>();

  /** Records the status published by a member. */
  updateFromMember(id: string, member: FleetMember, now: number): this {
    const { name, role, dataCentre, leadsTerm, isVoter } = member;
    this.#members.set(id, {
      entry: { id, name, role, dataCentre, leadsTerm, isVoter },
      lastSeenAt: now,
    });
    return this;
  }

  /** Records the members forwarded by another instance. */
  mergeEntries(entries: readonly RosterEntry[], now: number): this {
    for (const entry of entries) {
      this.#members.set(entry.id, { entry, lastSeenAt: now });
    }
    return this;
  }

  /** Gets whether a member was reported and has not been removed since. */
  isKnown(id: string): boolean {
    return this.#members.has(id);
  }

  /** Gets the members of a role that were reported recently. */
  membersOf(role: FleetRole, now: number): RosterEntry[] {
    return [...this.#members.values()]
      .filter((k) =>
        k.entry.role === role && now - k.lastSeenAt < PRESENCE_TIMEOUT_MS
      )
      .map((k) => k.entry);
  }

  /**
   * Gets the member that leads the log of a role. If several claim to lead, the
   * highest term wins.
   */
  leaderOf(role: FleetRole, now: number): RosterEntry | undefined {
    return this.membersOf(role, now)
      .filter((entry) => entry.leadsTerm !== undefined)
      .sort((a, b) => (b.leadsTerm ?? 0) - (a.leadsTerm ?? 0))[0];
  }

  /**
   * Removes members that have not been reported for a long time.
   *
   * @returns The identifiers of the removed members.
   */
  prune(now: number): string[] {
    const removed: string[] = [];
    for (const [id, { lastSeenAt }] of this.#members) {
      if (now - lastSeenAt <= EXPIRY_MS) continue;
      this.#members.delete(id);
      removed.push(id);
    }
    return removed;
  }
}

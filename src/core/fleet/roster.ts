/** The members of a fleet, as far as one instance has heard. */
import {
  type FleetMember,
  type FleetRole,
  type RosterEntry,
} from "./fleet_member.ts";

interface Known {
  readonly entry: RosterEntry;
  readonly heardAt: number;
}

/** Time for which hearsay of a member counts. */
const HEARSAY_MS = 6_000;
/** Time after which a member that nobody has heard of is forgotten. */
const FORGET_MS = 60_000;

/** Merges what members say of themselves with what others say of them. */
export class Roster {
  readonly #known = new Map<string, Known>();

  /** Records what a member said of itself. */
  hear(id: string, member: FleetMember, now: number): this {
    const { role, dataCentre, leadsTerm } = member;
    this.#known.set(id, {
      entry: { id, role, dataCentre, leadsTerm },
      heardAt: now,
    });
    return this;
  }

  /** Records what another instance has heard. */
  learn(entries: readonly RosterEntry[], now: number): this {
    for (const entry of entries) {
      this.#known.set(entry.id, { entry, heardAt: now });
    }
    return this;
  }

  /** Gets the members of a role that were heard of lately. */
  of(role: FleetRole, now: number): RosterEntry[] {
    return [...this.#known.values()]
      .filter((k) => k.entry.role === role && now - k.heardAt < HEARSAY_MS)
      .map((k) => k.entry);
  }

  /** Gets the member that leads the log of a role, by the greatest term. */
  leaderOf(role: FleetRole, now: number): RosterEntry | undefined {
    return this.of(role, now)
      .filter((entry) => entry.leadsTerm !== undefined)
      .sort((a, b) => (b.leadsTerm ?? 0) - (a.leadsTerm ?? 0))[0];
  }

  /** Forgets members that were not heard of for long. */
  prune(now: number): string[] {
    const forgotten: string[] = [];
    for (const [id, { heardAt }] of this.#known) {
      if (now - heardAt <= FORGET_MS) continue;
      this.#known.delete(id);
      forgotten.push(id);
    }
    return forgotten;
  }
}

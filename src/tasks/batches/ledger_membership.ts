/** Members that the ledger's log should have. */
import {
  allMembers,
  instanceOf,
  type Members,
} from "../../core/consensus/mod.ts";
import { FleetRole, wantedVoters } from "../../core/fleet/mod.ts";
import type { FleetNode } from "../fleet/fleet_node.ts";

/** Options of {@link LedgerMembership}. */
export interface LedgerMembershipOptions {
  readonly node: FleetNode;
  /** Gets the ID of the local replica; undefined before it is opened. */
  readonly replica: () => string | undefined;
  /** Gets the members of the log; undefined before it is opened. */
  readonly members: () => Members | undefined;
}

/** Finds which replicas are present, lost or retiring. */
export class LedgerMembership {
  readonly #options: LedgerMembershipOptions;

  constructor(options: LedgerMembershipOptions) {
    this.#options = options;
  }

  /** Gets the number of voters that the log should have. */
  get wantedVoters(): number {
    const { tolerance } = this.#options.node.settings;
    const replicas = this.presentReplicas.length;
    const members = this.#options.members()?.voters.length ?? 0;
    const fullSize = 2 * tolerance + 1;
    return Math.min(fullSize, wantedVoters(Math.max(replicas, members)));
  }

  /** Gets the reachable replicas, excluding those of retiring instances. */
  get presentReplicas(): string[] {
    const { node, replica } = this.#options;
    const others = node.linkedMembers(FleetRole.Ledger)
      .filter(({ member }) => !node.isRetiring(member.name))
      .map(({ member }) => member.replica);
    const own = this.isLocalRetiring ? undefined : replica();
    return [own, ...others].filter((id) => id !== undefined);
  }

  /** Gets the other linked instances with a replica. */
  get others(): string[] {
    return this.#options.node.linkedMembers(FleetRole.Ledger)
      .map(({ id }) => id);
  }

  /** Gets the instances that hold a replica of the ledger. */
  get holders(): string[] {
    const members = this.#options.members();
    if (members === undefined) return [];
    return allMembers(members).map((replica) => instanceOf(replica));
  }

  /** Gets whether this instance is retiring. */
  get isLocalRetiring(): boolean {
    const { node } = this.#options;
    return node.isRetiring(node.settings.name);
  }

  /** Gets whether an instance has been out of contact for too long. */
  isLost(instance: string): boolean {
    const { hub, settings } = this.#options.node;
    if (instance === settings.id || hub.getPresence(instance) !== undefined) {
      return false;
    }
    return hub.absentMs(instance) > settings.times.contactMs;
  }

  /** Gets whether an instance is retiring. */
  isRetiring(instance: string): boolean {
    const { node } = this.#options;
    const { id, name } = node.settings;
    const retiring = instance === id
      ? name
      : node.hub.getPresence(instance)?.member?.name;
    return retiring !== undefined && node.isRetiring(retiring);
  }
}

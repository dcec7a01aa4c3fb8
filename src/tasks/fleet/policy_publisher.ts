/** Publishes the policy from a control instance to the others. */
import {
  FleetRole,
  type FleetState,
  isFirstPublisher,
} from "../../core/fleet/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import { FOLLOWER_ROLES } from "./roster_publisher.ts";
import { SentVersions } from "./sent_versions.ts";

/** Options of {@link PolicyPublisher}. */
export interface PolicyPublisherOptions {
  readonly node: FleetNode;
  readonly state: () => FleetState;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/**
 * Time after which an instance that lacks the policy is told by all control
 * instances that it is linked to, and not by the first of them alone.
 */
const OTHER_PUBLISHER_MS = 400;

/** Sends the policy to the linked instances that lack it. */
export class PolicyPublisher {
  readonly #options: PolicyPublisherOptions;
  readonly #sent = new SentVersions();
  /** Time since which instances lack the policy, as far as seen here. */
  #lackingSince = new Map<string, number>();
  #isScheduled = false;

  constructor(options: PolicyPublisherOptions) {
    this.#options = options;
  }

  /**
   * Schedules sending the policy; of several applied at once, only the last.
   */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.send();
    });
  }

  /** Sends the policy to the instances that lack it, for those told here. */
  send(): void {
    const { node, state, now } = this.#options;
    const document = state().policy;
    if (document === undefined) return;
    const { revision } = document;
    const at = now();
    const lacking = FOLLOWER_ROLES
      .flatMap((role) => [...node.linkedMembers(role)])
      .filter(({ member }) => member.policyRevision < revision);
    const since = this.#lackingSince;
    this.#lackingSince = new Map(
      lacking.map(({ id }) => [id, since.get(id) ?? at]),
    );
    const isLinked = this.#getLinkedControls();
    const told = lacking
      .filter(({ id, member }) =>
        at - this.#lackingSince.get(id)! >= OTHER_PUBLISHER_MS ||
        isFirstPublisher({
          self: node.settings.id,
          follower: id,
          heard: Object.keys(member.targetsSeen),
          isLinked,
        })
      )
      .filter(({ id }) => this.#sent.take(id, revision, at));
    node.notify(told.map(({ id }) => id), { type: "policy", document });
  }

  #getLinkedControls(): (id: string) => boolean {
    const { node } = this.#options;
    const controls = new Set(
      node.linkedMembers(FleetRole.Control).map(({ id }) => id),
    );
    return (id) => controls.has(id);
  }
}

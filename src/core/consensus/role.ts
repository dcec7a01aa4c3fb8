/** Raft roles of a replica, as a robot3 state machine. */
import { createMachine, interpret, state, transition } from "robot3";

/** Raft roles. */
export const Role = {
  Follower: "follower",
  PreCandidate: "preCandidate",
  Candidate: "candidate",
  Leader: "leader",
} as const;

/** One of the values of {@link Role}. */
export type Role = typeof Role[keyof typeof Role];

/** Events that trigger role transitions. */
export const RoleEvent = {
  /** The election timeout passed without contact from a leader. */
  Timeout: "timeout",
  /** A quorum granted its pre-vote. */
  PreElected: "preElected",
  /** A quorum granted its vote. */
  Elected: "elected",
  /** A leader or a higher term was seen, or the leader lost its quorum. */
  StepDown: "stepDown",
  /** The leader requested a leadership transfer to this replica. */
  Transfer: "transfer",
} as const;

/** One of the values of {@link RoleEvent}. */
export type RoleEvent = typeof RoleEvent[keyof typeof RoleEvent];

const machine = createMachine(Role.Follower, {
  [Role.Follower]: state(
    transition(RoleEvent.Timeout, Role.PreCandidate),
    transition(RoleEvent.Transfer, Role.Candidate),
  ),
  [Role.PreCandidate]: state(
    transition(RoleEvent.PreElected, Role.Candidate),
    transition(RoleEvent.StepDown, Role.Follower),
    transition(RoleEvent.Timeout, Role.PreCandidate),
    transition(RoleEvent.Transfer, Role.Candidate),
  ),
  [Role.Candidate]: state(
    transition(RoleEvent.Elected, Role.Leader),
    transition(RoleEvent.StepDown, Role.Follower),
    transition(RoleEvent.Timeout, Role.PreCandidate),
  ),
  [Role.Leader]: state(transition(RoleEvent.StepDown, Role.Follower)),
});

/** Runs the state machine of one replica. */
export class RoleStateMachine {
  readonly #service = interpret(machine, () => {});

  /** Gets the current role. */
  get role(): Role {
    return this.#service.machine.current as Role;
  }

  /**
   * Sends an event. An event without a transition from the current role is
   * ignored.
   */
  send(event: RoleEvent): this {
    this.#service.send(event);
    return this;
  }
}

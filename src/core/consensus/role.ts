/** The roles of a replica, as a robot3 machine. */
import { createMachine, interpret, state, transition } from "robot3";

/** Roles of a replica. */
export const Role = {
  Follower: "follower",
  PreCandidate: "preCandidate",
  Candidate: "candidate",
  Leader: "leader",
} as const;

/** One of the values of {@link Role}. */
export type Role = typeof Role[keyof typeof Role];

/** Events that change the role. */
export const RoleEvent = {
  /** No leader was heard in time. */
  Timeout: "timeout",
  /** A quorum would give its vote. */
  PreElected: "preElected",
  /** A quorum gave its vote. */
  Elected: "elected",
  /** A leader or a greater term was heard, or contact was lost. */
  StepDown: "stepDown",
  /** The leader asked to take over at once. */
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

/** Runs the role of one replica. */
export class RoleLifecycle {
  readonly #service = interpret(machine, () => {});

  /** Gets the current role. */
  get role(): Role {
    return this.#service.machine.current as Role;
  }

  /** Sends an event; one that the role does not know changes nothing. */
  send(event: RoleEvent): this {
    this.#service.send(event);
    return this;
  }
}

/** Lifecycle of a target, as a robot3 machine. */
import { createMachine, interpret, state, transition } from "robot3";

/** States of a target. */
export const TargetPhase = {
  /** Takes work. */
  Serving: "serving",
  /** Loads new weights and takes no work. */
  Swapping: "swapping",
  /** Failed lately and takes no work until its pause is over. */
  Ejected: "ejected",
  /** Takes one request at a time until some have succeeded. */
  Probing: "probing",
  /** Finishes its work and takes nothing new. */
  Leaving: "leaving",
  /** Is no longer there. */
  Gone: "gone",
} as const;

/** One of the values of {@link TargetPhase}. */
export type TargetPhase = typeof TargetPhase[keyof typeof TargetPhase];

/** Events of a target. */
export const TargetEvent = {
  Eject: "eject",
  Probe: "probe",
  Recover: "recover",
  SwapStart: "swapStart",
  SwapEnd: "swapEnd",
  Leave: "leave",
  Lose: "lose",
} as const;

/** One of the values of {@link TargetEvent}. */
export type TargetEvent = typeof TargetEvent[keyof typeof TargetEvent];

const { Serving, Swapping, Ejected, Probing, Leaving, Gone } = TargetPhase;
const { Eject, Probe, Recover, SwapStart, SwapEnd, Leave, Lose } = TargetEvent;

const machine = createMachine(Serving, {
  [Serving]: state(
    transition(Eject, Ejected),
    transition(SwapStart, Swapping),
    transition(Leave, Leaving),
    transition(Lose, Gone),
  ),
  [Swapping]: state(
    transition(SwapEnd, Serving),
    transition(Eject, Ejected),
    transition(Leave, Leaving),
    transition(Lose, Gone),
  ),
  [Ejected]: state(
    transition(Probe, Probing),
    transition(Leave, Leaving),
    transition(Lose, Gone),
  ),
  [Probing]: state(
    transition(Recover, Serving),
    transition(Eject, Ejected),
    transition(SwapStart, Swapping),
    transition(Leave, Leaving),
    transition(Lose, Gone),
  ),
  [Leaving]: state(transition(Lose, Gone)),
  [Gone]: state(),
});

/**
 * Runs the lifecycle of one target.
 *
 * @example
 * ```ts
 * new TargetLifecycle().send("leave").phase; // "leaving"
 * ```
 */
export class TargetLifecycle {
  readonly #service = interpret(machine, () => {});

  /** Gets the current state. */
  get phase(): TargetPhase {
    return this.#service.machine.current as TargetPhase;
  }

  /** Sends an event; one that the state does not know changes nothing. */
  send(event: TargetEvent): this {
    this.#service.send(event);
    return this;
  }
}

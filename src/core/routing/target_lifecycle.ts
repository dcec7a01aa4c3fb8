/** State machine of the lifecycle of a target. */
import { createMachine, interpret, state, transition } from "robot3";

/** Phases of a target's lifecycle. */
export const TargetPhase = {
  /** Accepts work. */
  Serving: "serving",
  /** Loads new weights; accepts no work. */
  Swapping: "swapping",
  /** Failed recently; accepts no work until the ejection time is over. */
  Ejected: "ejected",
  /** Accepts one request at a time until enough have succeeded. */
  Probing: "probing",
  /** Drains: finishes its work and accepts no more. */
  Leaving: "leaving",
  /** Has terminated or was removed; `gone` in the status of an instance. */
  Removed: "gone",
} as const;

/** One of the values of {@link TargetPhase}. */
export type TargetPhase = typeof TargetPhase[keyof typeof TargetPhase];

/** Events of a target's lifecycle. */
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

const { Serving, Swapping, Ejected, Probing, Leaving, Removed } = TargetPhase;
const { Eject, Probe, Recover, SwapStart, SwapEnd, Leave, Lose } = TargetEvent;

const machine = createMachine(Serving, {
  [Serving]: state(
    transition(Eject, Ejected),
    transition(SwapStart, Swapping),
    transition(Leave, Leaving),
    transition(Lose, Removed),
  ),
  [Swapping]: state(
    transition(SwapEnd, Serving),
    transition(Eject, Ejected),
    transition(Leave, Leaving),
    transition(Lose, Removed),
  ),
  [Ejected]: state(
    transition(Probe, Probing),
    transition(Leave, Leaving),
    transition(Lose, Removed),
  ),
  [Probing]: state(
    transition(Recover, Serving),
    transition(Eject, Ejected),
    transition(SwapStart, Swapping),
    transition(Leave, Leaving),
    transition(Lose, Removed),
  ),
  [Leaving]: state(transition(Lose, Removed)),
  [Removed]: state(),
});

/**
 * Tracks the lifecycle of one target.
 *
 * @example
 * ```ts
 * new TargetLifecycle().send("leave").phase; // "leaving"
 * ```
 */
export class TargetLifecycle {
  readonly #service = interpret(machine, () => {});

  /** Gets the current phase. */
  get phase(): TargetPhase {
    return this.#service.machine.current as TargetPhase;
  }

  /** Applies an event; ignored if it has no transition from this phase. */
  send(event: TargetEvent): this {
    this.#service.send(event);
    return this;
  }
}

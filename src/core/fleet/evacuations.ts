/** Data centres to whose targets no requests are sent. */
import type { FleetCommand, FleetCommandResult } from "./fleet_command.ts";

/** An order that begins or ends the evacuation of a data centre. */
export type EvacuationCommand = Extract<
  FleetCommand,
  { type: "evacuate" | "readmit" }
>;

/** All evacuated data centres, in one version of the control log's state. */
export interface EvacuationUpdate {
  /** Number of changes that the state includes. */
  readonly version: number;
  readonly dataCentres: readonly string[];
}

/**
 * Applies the orders that begin and end evacuations.
 *
 * @example
 * ```ts
 * evacuations.apply({ type: "evacuate", dataCentre: "nl-1", after: 0 });
 * ```
 */
export class Evacuations {
  #version = 0;
  #dataCentres: ReadonlySet<string> = new Set();

  /** Gets the number of changes so far. */
  get version(): number {
    return this.#version;
  }

  /** Gets the evacuated data centres. */
  get dataCentres(): ReadonlySet<string> {
    return this.#dataCentres;
  }

  /**
   * Applies an order. An order that changes the state must know its version, so
   * that a copy of an earlier order, delayed on its way to the leader, cannot
   * undo a later one.
   */
  apply({ type, dataCentre, after }: EvacuationCommand): FleetCommandResult {
    const isWanted = type === "evacuate";
    if (this.#dataCentres.has(dataCentre) === isWanted) {
      return { type: "unchanged" };
    }
    if (after !== this.#version) {
      return { type: "outdated", version: this.#version };
    }
    const others = [...this.#dataCentres].filter((id) => id !== dataCentre);
    this.#dataCentres = new Set(isWanted ? [...others, dataCentre] : others);
    this.#version += 1;
    return { type: "done" };
  }

  /** Gets the serializable state. */
  save(): EvacuationUpdate {
    return { version: this.#version, dataCentres: [...this.#dataCentres] };
  }

  /** Replaces the state with a saved one; undefined for the initial one. */
  load(update: EvacuationUpdate | undefined): this {
    this.#version = update?.version ?? 0;
    this.#dataCentres = new Set(update?.dataCentres);
    return this;
  }
}

/** Instances through which this one may reach targets that it has lost. */
import { FleetRole } from "../../core/fleet/mod.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Time for which an answer of the control instances is used. */
const VALIDITY_MS = 1_000;
const REQUEST_TIMEOUT_MS = 150;

/**
 * Asks the control instances, which know the entry instances that are linked to
 * them. Only an instance that has lost a target asks.
 */
export class RelayFinder {
  readonly #node: Pick<FleetNode, "requestLeader" | "now">;
  #known: readonly string[] = [];
  #knownAt = -Infinity;
  #asking: Promise<void> | undefined;

  constructor(node: Pick<FleetNode, "requestLeader" | "now">) {
    this.#node = node;
  }

  /**
   * Gets instances, best first; those of the last answer while the control
   * instances do not answer.
   */
  async find(): Promise<readonly string[]> {
    const isValid = this.#node.now - this.#knownAt < VALIDITY_MS;
    if (!isValid) await (this.#asking ??= this.#ask());
    return this.#known;
  }

  async #ask(): Promise<void> {
    try {
      this.#known = await this.#node.requestLeader(
        FleetRole.Control,
        FleetMethod.Relays,
        { params: {}, timeoutMs: REQUEST_TIMEOUT_MS },
      ) as readonly string[];
      this.#knownAt = this.#node.now;
    } catch {
      // The instances of the last answer may still serve.
    } finally {
      this.#asking = undefined;
    }
  }
}

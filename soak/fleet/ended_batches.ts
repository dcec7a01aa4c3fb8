/** Batches that their callers have ended, and what targets get of them later. */
import type { FleetReplica } from "../../fakes/fleet_replica.ts";
import type { BatchPlan } from "../../tests/support/fleet_trainer.ts";
import { InvariantViolationError } from "./invariant_violation_error.ts";

/** Time after an acknowledged end in which items may still reach targets. */
const CANCEL_MS = 3_000;

/** Records the ends of batches, and checks that their items are not sent later. */
export class EndedBatches {
  readonly #replicas: readonly FleetReplica[];
  /** Time of the acknowledgement, in milliseconds since the epoch, by item. */
  readonly #endedAt = new Map<string, number>();

  constructor(replicas: readonly FleetReplica[]) {
    this.#replicas = replicas;
  }

  /** Records that the end of a batch was acknowledged now. */
  onEnded({ items }: BatchPlan): this {
    for (const item of items) this.#endedAt.set(item, Date.now());
    return this;
  }

  /**
   * Checks the runs of the items.
   * @throws {InvariantViolationError}
   */
  check(): void {
    for (const { request, startedAt } of this.#runs) {
      const endedAt = this.#endedAt.get(request) ?? Infinity;
      const lateMs = startedAt - endedAt - CANCEL_MS;
      if (lateMs <= 0) continue;
      throw new InvariantViolationError(
        "no item reaches a target after its batch has ended",
        `${request}, ${lateMs} ms too late`,
      );
    }
  }

  get #runs() {
    return this.#replicas.flatMap(({ runs }) => runs);
  }
}

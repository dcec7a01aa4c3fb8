/** Check that a batch does not leave the regions in which it may run. */
import type { BatchSpec } from "../../core/batches/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import { RegionMap } from "../../core/policy/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link BatchHomes}. */
export interface BatchHomesOptions {
  readonly node: Pick<FleetNode, "settings" | "roster" | "now">;
  readonly registry: TargetRegistry;
}

const RETRY_AFTER_MS = 1_000;

/**
 * Refuses batches whose bodies would be kept, or whose items run, elsewhere. The
 * ledger's log is on all ledger instances, wherever they are.
 */
export class BatchHomes {
  readonly #options: BatchHomesOptions;
  readonly #regions: RegionMap;

  constructor(options: BatchHomesOptions) {
    this.#options = options;
    this.#regions = new RegionMap(options.node.settings.regions);
  }

  /**
   * Checks a batch before it is sent to the ledger.
   * @throws RefusalError if a ledger instance is neither in its homes nor in the
   *     region of this instance, or if no target is in its homes.
   */
  throwIfOutside(
    { homes, service }: Pick<BatchSpec, "homes" | "service">,
  ): void {
    if (homes === undefined) return;
    const { node, registry } = this.#options;
    const { dataCentre } = node.settings;
    const outside = node.roster.membersOf(FleetRole.Ledger, node.now)
      .find((member) =>
        !this.#regions.isWithin(member.dataCentre, homes) &&
        !this.#regions.isSameRegion(member.dataCentre, dataCentre)
      );
    if (outside !== undefined) {
      throw createRefusal(
        `The batch may not be kept in data centre ${outside.dataCentre}`,
      );
    }
    if (registry.readyOf(service, homes).length > 0) return;
    throw createRefusal("No target is in a region in which the batch may run");
  }
}

function createRefusal(message: string): RefusalError {
  return new RefusalError(RefusalReason.HomeUnavailable, Verdict.NotRun, {
    message,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

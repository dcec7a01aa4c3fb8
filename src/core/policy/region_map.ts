/** The regions of the data centres of a deployment. */
import { homeListsOf, type Homes } from "./homes.ts";
import type { PolicyDocument } from "./policy_document.ts";

/**
 * Finds out whether data centres are in the homes of a request. A data centre
 * whose region is not known is in no home.
 *
 * @example
 * ```ts
 * new RegionMap({ "nl-1": "north" }).isWithin("nl-1", ["north"]); // true
 * ```
 */
export class RegionMap {
  readonly #regions: ReadonlyMap<string, string> | undefined;

  /** @param regions - Region of each data centre; undefined if not known. */
  constructor(regions: Readonly<Record<string, string>> | undefined) {
    this.#regions = regions && new Map(Object.entries(regions));
  }

  /** Gets whether a request with some homes may run in a data centre. */
  isWithin(dataCentre: string, homes: Homes): boolean {
    if (homes === undefined) return true;
    const region = this.#regions?.get(dataCentre);
    return region !== undefined && homes.includes(region);
  }

  /** Gets whether two data centres are in the same region, which is known. */
  isSameRegion(a: string, b: string): boolean {
    const region = this.#regions?.get(a);
    return region !== undefined && region === this.#regions?.get(b);
  }

  /** Gets the faults of a policy that names a region which does not exist. */
  findFaults(
    document: Pick<PolicyDocument, "routes" | "workspaces">,
  ): string[] {
    if (this.#regions === undefined) return [];
    const known = new Set(this.#regions.values());
    const named = new Set(homeListsOf(document).flat());
    return [...named].filter((region) => !known.has(region))
      .map((region) => `Region ${region} is unknown`);
  }
}

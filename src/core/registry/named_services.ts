/** The services that the policy names. */
import type { TargetReport } from "./target_report.ts";

/** Tells reports of services that the policy names from others. */
export class NamedServices {
  #names: ReadonlySet<string> | undefined;

  /**
   * Replaces the names.
   *
   * @returns Those that are new; none at first, as any name is taken for one of
   *     the policy before.
   * @example
   * ```ts
   * for (const service of services.replace(["planner"])) resolve(service);
   * ```
   */
  replace(names: Iterable<string>): ReadonlySet<string> {
    const previous = this.#names;
    this.#names = new Set(names);
    if (previous === undefined) return new Set();
    return new Set([...this.#names].filter((name) => !previous.has(name)));
  }

  /**
   * Gets whether a report is of a service that the policy does not name, beside
   * one that is: another writer may have made it.
   */
  isForeign(report: TargetReport, known: TargetReport): boolean {
    return !this.#isNamed(report) && this.#isNamed(known);
  }

  #isNamed({ service }: TargetReport): boolean {
    return this.#names?.has(service) ?? true;
  }
}

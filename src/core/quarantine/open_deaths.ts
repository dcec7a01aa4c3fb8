/** Targets that may have ended under a request, until that is known. */
import type { RegisteredTarget, TargetReport } from "../registry/mod.ts";
import type { SuspicionChange } from "./quarantine.ts";
import { targetNameOf, type TrialRequest } from "./trial_limiter.ts";

/**
 * Tracks broken connections until it is known whether their target has ended.
 * Until then each counts as a death if the service has one target left, which
 * the request may end, too.
 *
 * @example
 * ```ts
 * deaths.begin("f", target);
 * // With two ready targets:
 * deaths.isLastAtRisk("f", readyOf); // true
 * deaths.end("f", target);
 * ```
 */
export class OpenDeaths {
  readonly #reports = new Map<string, Map<string, TargetReport>>();

  /** Records that a target broke the connection of a request. */
  begin(fingerprint: string, report: TargetReport): this {
    const reports = this.#reports.get(fingerprint) ?? new Map();
    this.#reports.set(fingerprint, reports.set(targetNameOf(report), report));
    return this;
  }

  /** Records that it is known whether the target has ended. */
  end(fingerprint: string, report: TargetReport): this {
    const reports = this.#reports.get(fingerprint);
    reports?.delete(targetNameOf(report));
    if (reports?.size === 0) this.#reports.delete(fingerprint);
    return this;
  }

  /** Gets whether it is open of any target whether it ended under a request. */
  has(fingerprint: string): boolean {
    return this.#reports.has(fingerprint);
  }

  /** Adds the targets that may have ended to those that are known to have. */
  addTo(
    { fingerprint, deaths, targets = [] }: SuspicionChange,
  ): Pick<TrialRequest, "deaths" | "targets"> {
    const open = this.#reports.get(fingerprint)?.keys() ?? [];
    const all = [...new Set([...targets, ...open])];
    return { deaths: deaths + all.length - targets.length, targets: all };
  }

  /**
   * Gets whether a request may have ended all targets of a service but one.
   * @param readyOf - Gets the ready targets of a service.
   */
  isLastAtRisk(
    fingerprint: string,
    readyOf: (service: string) => readonly RegisteredTarget[],
  ): boolean {
    const reports = this.#reports.get(fingerprint);
    if (reports === undefined) return false;
    const services = new Set([...reports.values()].map((one) => one.service));
    return [...services].some((service) => {
      const spare = readyOf(service)
        .filter(({ report }) => !reports.has(targetNameOf(report)));
      return spare.length === 1;
    });
  }
}

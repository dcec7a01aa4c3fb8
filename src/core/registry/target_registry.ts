/** The targets that are known, from their own reports. */
import { type TargetReport, TargetState } from "./target_report.ts";

/** A target and when it was last heard of. */
export interface RegisteredTarget {
  readonly report: TargetReport;
  /** Time of the last report, by the local clock in milliseconds. */
  readonly heardAt: number;
}

/** A version that a target has loaded. */
export interface LoadedVersion {
  readonly target: string;
  readonly incarnation: number;
  readonly model: string;
  readonly version: number;
}

/** What a report changed. */
export const RegistryChange = {
  /** It is older than what is known. */
  None: "none",
  /** It says the same again. */
  Refreshed: "heard",
  /** Something that matters for routing is new. */
  Changed: "changed",
} as const;

/** One of the values of {@link RegistryChange}. */
export type RegistryChange = typeof RegistryChange[keyof typeof RegistryChange];

/** Time for which a target that is gone is remembered. */
const GONE_RETENTION_MS = 120_000;

/**
 * Merges reports that come late, twice and out of order.
 *
 * @example
 * ```ts
 * if (registry.merge(report, now) === RegistryChange.Changed) tellOthers();
 * ```
 */
export class TargetRegistry {
  readonly #targets = new Map<string, RegisteredTarget>();

  /** Takes in a report. */
  merge(report: TargetReport, now: number): RegistryChange {
    const known = this.#targets.get(report.id)?.report;
    if (known !== undefined && !isNewer(report, known)) {
      return RegistryChange.None;
    }
    const resolved = this.#resolveAddressConflict(report, now);
    this.#targets.set(report.id, { report: resolved, heardAt: now });
    return known !== undefined && isSameReport(known, resolved)
      ? RegistryChange.Refreshed
      : RegistryChange.Changed;
  }

  /** Records that a target has said farewell. */
  remove(id: string, incarnation: number | undefined, now: number): boolean {
    const known = this.#targets.get(id)?.report;
    if (known === undefined || known.state === TargetState.Gone) return false;
    if (incarnation !== undefined && incarnation < known.incarnation) {
      return false;
    }
    this.#markGone(known, now);
    return true;
  }

  /** Records a version that a target was seen to have loaded. */
  learnVersion(loaded: LoadedVersion): boolean {
    const known = this.#targets.get(loaded.target);
    if (known === undefined) return false;
    const { report, heardAt } = known;
    const { incarnation, model, version } = loaded;
    if (report.incarnation !== incarnation) return false;
    if ((report.versions[model] ?? 0) >= version) return false;
    const versions = { ...report.versions, [model]: version };
    this.#targets.set(report.id, { report: { ...report, versions }, heardAt });
    return true;
  }

  /** Gets a target. */
  get(id: string): RegisteredTarget | undefined {
    return this.#targets.get(id);
  }

  /** Gets all targets, those that are gone included. */
  get all(): readonly RegisteredTarget[] {
    return [...this.#targets.values()];
  }

  /** Gets the targets of a service that take work. */
  readyOf(service: string): RegisteredTarget[] {
    return this.all.filter(({ report }) =>
      report.service === service && report.state === TargetState.Ready
    );
  }

  /** Forgets targets that have been gone for long. */
  prune(now: number): this {
    for (const [id, { report, heardAt }] of this.#targets) {
      const isOld = now - heardAt > GONE_RETENTION_MS;
      if (isOld && report.state === TargetState.Gone) this.#targets.delete(id);
    }
    return this;
  }

  /** An address belongs to the target that started last. */
  #resolveAddressConflict(report: TargetReport, now: number): TargetReport {
    if (report.state === TargetState.Gone) return report;
    for (const { report: other } of this.#targets.values()) {
      if (other.id === report.id || other.address !== report.address) continue;
      if (other.state === TargetState.Gone) continue;
      if (other.incarnation > report.incarnation) {
        return { ...report, state: TargetState.Gone };
      }
      this.#markGone(other, now);
    }
    return report;
  }

  #markGone(report: TargetReport, now: number): void {
    const gone = { ...report, state: TargetState.Gone };
    this.#targets.set(report.id, { report: gone, heardAt: now });
  }
}

function isNewer(report: TargetReport, known: TargetReport): boolean {
  if (report.incarnation !== known.incarnation) {
    return report.incarnation > known.incarnation;
  }
  if (known.state === TargetState.Gone) return false;
  if (report.state === TargetState.Gone) return true;
  return report.sequence > known.sequence;
}

function isSameReport(a: TargetReport, b: TargetReport): boolean {
  return isSamePlace(a, b) &&
    JSON.stringify(a.versions) === JSON.stringify(b.versions);
}

/** Gets whether two reports are alike but for the versions of the weights. */
export function isSamePlace(a: TargetReport, b: TargetReport): boolean {
  return a.incarnation === b.incarnation && a.state === b.state &&
    a.address === b.address && a.service === b.service &&
    a.slots === b.slots && a.isSpot === b.isSpot;
}

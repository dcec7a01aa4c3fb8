/** Registry of targets, built from their reports. */
import { type Homes, RegionMap } from "../policy/mod.ts";
import {
  COLD_MARGIN_MS,
  coldMsOf,
  type ColdTime,
  mergeColdUntil,
} from "./cold_time.ts";
import { NamedServices } from "./named_services.ts";
import { isNewer, isSameReport, keepLeaving } from "./report_comparison.ts";
import { type TargetReport, TargetState } from "./target_report.ts";

/** A registered target and the time of its last report. */
export interface RegisteredTarget extends ColdTime {
  readonly report: TargetReport;
  /** Time at which the last report arrived, in milliseconds, local clock. */
  readonly reportedAt: number;
  /**
   * Requests a second that the target takes from all instances together, as its
   * responses say; undefined for any number.
   */
  readonly maxPerSecond?: number | undefined;
}

/** A weight version that a target has loaded. */
export interface LoadedVersion {
  readonly target: string;
  readonly incarnation: number;
  readonly model: string;
  readonly version: number;
}

/** Effect of a report on the registry. */
export const RegistryChange = {
  /** The report is outdated and was ignored. */
  None: "none",
  /** The report repeats the known state; only its time was updated. */
  Refreshed: "refreshed",
  /** The report changed state that matters for routing. */
  Changed: "changed",
} as const;

/** One of the values of {@link RegistryChange}. */
export type RegistryChange = typeof RegistryChange[keyof typeof RegistryChange];

/** Time for which removed targets are retained. */
const REMOVED_RETENTION_MS = 120_000;

/**
 * Merges target reports, which may be delayed, duplicated or out of order.
 *
 * @example
 * ```ts
 * if (registry.merge(report, now) === RegistryChange.Changed) notifyPeers();
 * ```
 */
export class TargetRegistry {
  readonly #targets = new Map<string, RegisteredTarget>();
  readonly #regions: RegionMap;
  #evacuated: ReadonlySet<string> | undefined = new Set();
  readonly #services = new NamedServices();
  #hasLeft: (id: string, incarnation: number) => boolean = () => false;

  /** @param regions - Regions of the data centres; none known by default. */
  constructor(regions: RegionMap = new RegionMap(undefined)) {
    this.#regions = regions;
  }

  /**
   * Merges a report; ignored if it is not newer than the known one. A target
   * that leaves stays leaving until it starts again, and one that has left is
   * not added by a late report.
   */
  merge(report: TargetReport, now: number): RegistryChange {
    const known = this.#targets.get(report.id);
    const current = known?.report;
    if (this.#isOfLeftTarget(report, current)) return RegistryChange.None;
    if (current !== undefined && !isNewer(report, current)) {
      return RegistryChange.None;
    }
    if (current !== undefined && this.#services.isForeign(report, current)) {
      return RegistryChange.None;
    }
    const same = current?.incarnation === report.incarnation
      ? known
      : undefined;
    const joinedAt = same === undefined
      ? this.#joinTimeOf(report, now)
      : same.joinedAt;
    const coldMs = coldMsOf(report, current);
    const resolved = this.#resolveAddressConflict(
      { ...keepLeaving(report, current), coldMs },
      now,
    );
    const coldUntil = mergeColdUntil({
      coldUntil: same?.coldUntil,
      extendedAt: same?.extendedAt,
      coldMs,
      now,
    });
    this.#targets.set(report.id, {
      report: resolved,
      reportedAt: now,
      maxPerSecond: same?.maxPerSecond,
      coldUntil,
      extendedAt: same?.extendedAt,
      joinedAt,
    });
    const isSame = current !== undefined && isSameReport(current, resolved) &&
      coldUntil === same?.coldUntil;
    return isSame ? RegistryChange.Refreshed : RegistryChange.Changed;
  }

  /**
   * Records that an incarnation of a target is cold, by one of its responses or
   * by an order. Responses are not numbered, so they only extend a cold time.
   * @returns False if it is unknown, has restarted or was known to be cold.
   */
  extendCold(
    id: string,
    incarnation: number,
    { coldMs, now }: { readonly coldMs: number; readonly now: number },
  ): boolean {
    const current = this.#targets.get(id);
    if (current?.report.incarnation !== incarnation) return false;
    const end = now + coldMs;
    if (coldMs <= 0 || end <= (current.coldUntil ?? -Infinity)) return false;
    this.#targets.set(id, {
      ...current,
      coldUntil: end + COLD_MARGIN_MS,
      extendedAt: now,
    });
    return true;
  }

  /**
   * Marks a target as removed, after it has deregistered.
   * @param incarnation - Incarnation that ends; undefined for any.
   * @param now - Time in milliseconds.
   * @returns False if the target is unknown, removed or already restarted.
   */
  remove(id: string, incarnation: number | undefined, now: number): boolean {
    const current = this.#targets.get(id)?.report;
    if (current === undefined || current.state === TargetState.Removed) {
      return false;
    }
    if (incarnation !== undefined && incarnation < current.incarnation) {
      return false;
    }
    this.#markRemoved(current, now);
    return true;
  }

  /**
   * Records that an incarnation of a target leaves, before it reports it. One
   * before it has ended.
   * @returns False if it is unknown, has restarted or was known to leave.
   */
  markLeaving(id: string, incarnation: number): boolean {
    const current = this.#targets.get(id);
    if (current === undefined) return false;
    const { report } = current;
    const isReady = report.state === TargetState.Ready;
    if (!isReady || report.incarnation > incarnation) return false;
    this.#targets.set(id, {
      ...current,
      report: { ...report, state: TargetState.Draining },
    });
    return true;
  }

  /**
   * Records the rate that an incarnation of a target names in its responses;
   * undefined if it names none.
   * @returns False if it is unknown, has restarted or was known to name it.
   */
  recordLimit(
    id: string,
    incarnation: number,
    maxPerSecond: number | undefined,
  ): boolean {
    const current = this.#targets.get(id);
    if (current?.report.incarnation !== incarnation) return false;
    if (current.maxPerSecond === maxPerSecond) return false;
    this.#targets.set(id, { ...current, maxPerSecond });
    return true;
  }

  /**
   * Records that a target has loaded a version, before it reports it.
   * @returns False if the incarnation differs or the version is not newer.
   */
  recordVersion(loaded: LoadedVersion): boolean {
    const current = this.#targets.get(loaded.target);
    if (current === undefined) return false;
    const { report } = current;
    const { incarnation, model, version } = loaded;
    if (report.incarnation !== incarnation) return false;
    if ((report.versions[model] ?? 0) >= version) return false;
    const versions = { ...report.versions, [model]: version };
    this.#targets.set(report.id, {
      ...current,
      report: { ...report, versions },
    });
    return true;
  }

  /** Gets a target by its identifier. */
  get(id: string): RegisteredTarget | undefined {
    return this.#targets.get(id);
  }

  /**
   * Gets the current report of a target.
   * @throws Error if the target is unknown.
   */
  getReportOrThrow(id: string): TargetReport {
    const target = this.#targets.get(id);
    if (target === undefined) throw new Error(`Unknown target ${id}`);
    return target.report;
  }

  /** Gets all targets, including those in state removed. */
  get all(): readonly RegisteredTarget[] {
    return [...this.#targets.values()];
  }

  /** Gets the reports of the targets that are not removed. */
  get presentReports(): TargetReport[] {
    return this.all.map(({ report }) => report)
      .filter(({ state }) => state !== TargetState.Removed);
  }

  /**
   * Gets the targets of a service that accept work and may be sent some.
   * @param homes - Regions in which the work may run.
   */
  readyOf(service: string, homes?: Homes): RegisteredTarget[] {
    return this.all.filter(({ report }) =>
      report.service === service && this.maySendTo(report.id) &&
      this.#regions.isWithin(report.dataCentre, homes)
    );
  }

  /** Gets whether work with some homes may run in a data centre. */
  isWithin(dataCentre: string, homes: Homes): boolean {
    return this.#regions.isWithin(dataCentre, homes);
  }

  /** Gets whether a target accepts work and its data centre is not evacuated. */
  maySendTo(id: string): boolean {
    const report = this.#targets.get(id)?.report;
    return report?.state === TargetState.Ready &&
      !this.isEvacuated(report.dataCentre);
  }

  /**
   * Replaces the set of evacuated data centres.
   * @param dataCentres - Undefined if it is not known which they are; all count
   *     as evacuated then.
   */
  setEvacuated(dataCentres: ReadonlySet<string> | undefined): this {
    this.#evacuated = dataCentres;
    return this;
  }

  /**
   * Replaces the names of the services that the policy has; before, any is taken
   * for one. Reports of other services displace no target.
   */
  setServices(names: Iterable<string>, now: number): this {
    const added = this.#services.replace(names);
    for (const id of [...this.#targets.keys()]) {
      const target = this.#targets.get(id)!;
      if (!added.has(target.report.service)) continue;
      const report = this.#resolveAddressConflict(target.report, now);
      this.#targets.set(report.id, { ...target, report });
    }
    return this;
  }

  /**
   * Sets what tells whether an incarnation of a target has left; by default,
   * none has that is not known here.
   */
  setDepartures(hasLeft: (id: string, incarnation: number) => boolean): this {
    this.#hasLeft = hasLeft;
    return this;
  }

  /** Gets whether a data centre is evacuated, or may be. */
  isEvacuated(dataCentre: string): boolean {
    return this.#evacuated?.has(dataCentre) ?? true;
  }

  /** Deletes targets whose removal is longer ago than the retention time. */
  prune(now: number): this {
    for (const [id, { report, reportedAt }] of this.#targets) {
      const isOld = now - reportedAt > REMOVED_RETENTION_MS;
      if (isOld && report.state === TargetState.Removed) {
        this.#targets.delete(id);
      }
    }
    return this;
  }

  /** Gets whether a report was made before its target left, and arrives late. */
  #isOfLeftTarget(
    { id, incarnation, state }: TargetReport,
    current: TargetReport | undefined,
  ): boolean {
    if (state !== TargetState.Ready) return false;
    const isKnown = current?.incarnation === incarnation &&
      current.state !== TargetState.Ready;
    return !isKnown && this.#hasLeft(id, incarnation);
  }

  #joinTimeOf({ id, service }: TargetReport, now: number): number | undefined {
    const isJoining = this.readyOf(service)
      .some(({ report }) => report.id !== id);
    return isJoining ? now : undefined;
  }

  /** Lets the target that started last keep an address that two report. */
  #resolveAddressConflict(report: TargetReport, now: number): TargetReport {
    if (report.state === TargetState.Removed) return report;
    for (const { report: other } of this.#targets.values()) {
      if (other.id === report.id || other.address !== report.address) continue;
      if (other.state === TargetState.Removed) continue;
      if (
        this.#services.isForeign(report, other) ||
        this.#services.isForeign(other, report)
      ) {
        continue;
      }
      if (other.incarnation > report.incarnation) {
        return { ...report, state: TargetState.Removed };
      }
      this.#markRemoved(other, now);
    }
    return report;
  }

  #markRemoved(report: TargetReport, now: number): void {
    const removed = { ...report, state: TargetState.Removed };
    this.#targets.set(report.id, { report: removed, reportedAt: now });
  }
}

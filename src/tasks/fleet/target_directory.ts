/** Targets known to a control instance, kept in step with the other instances. */
import { type FleetNotice, FleetRole } from "../../core/fleet/mod.ts";
import {
  type LoadedVersion,
  type RegisteredTarget,
  RegistryChange,
  type TargetRegistry,
  type TargetReport,
} from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { FleetPublisher } from "./fleet_publisher.ts";
import { logTargetChanged } from "./target_log.ts";

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  readonly publisher: FleetPublisher;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Called when a target has changed. */
  readonly onChanged: () => void;
}

/** Merges what targets and instances say of targets, and passes it on. */
export class TargetDirectory {
  /** Targets that have registered with this or another control instance. */
  readonly registry: TargetRegistry;
  readonly #options: TargetDirectoryOptions;

  constructor(options: TargetDirectoryOptions) {
    this.#options = options;
    this.registry = options.registry;
  }

  /**
   * Merges a target's report and forwards it to other control instances: at once
   * if it changes what is known, else with the next ones.
   */
  merge(report: TargetReport): void {
    const { publisher } = this.#options;
    if (this.#applyReport(report)) publisher.forwardReport(report);
    else publisher.forwardLater(report);
  }

  /**
   * Removes a target and informs the other instances.
   * @throws RefusalError with verdict `notRun` if the target is not known here, as
   * after a restart: another control instance may know it.
   */
  remove(id: string, incarnation: number | undefined): void {
    const { now } = this.#options;
    const previous = this.registry.get(id);
    if (previous === undefined) throw createUnknownTargetError();
    if (!this.registry.remove(id, incarnation, now())) return;
    const removed = this.registry.get(id)?.report;
    if (removed === undefined) return;
    this.#onTargetChanged(removed, previous);
    this.#options.publisher.forwardReport(removed);
  }

  /** Records that a target has loaded weights, and publishes it. */
  publishLoaded(loaded: LoadedVersion): void {
    this.registry.recordVersion(loaded);
    this.#options.publisher.publishLoad("loaded", loaded);
  }

  /** Publishes that a target has been ordered to load weights. */
  publishLoading(loading: LoadedVersion): void {
    this.#options.publisher.publishLoad("loading", loading);
  }

  /**
   * Records that an incarnation of a target leaves, and tells the followers and
   * the other control instances.
   */
  markLeaving(id: string, incarnation: number): void {
    const previous = this.registry.get(id);
    if (!this.registry.markLeaving(id, incarnation)) return;
    this.#onTargetChanged(this.registry.getReportOrThrow(id), previous);
    this.#options.node.notifyRole(FleetRole.Control, {
      type: "leaving",
      target: id,
      incarnation,
    });
  }

  /** Applies a notice of another instance. */
  onNotice(notice: FleetNotice): void {
    if (notice.type === "loaded") this.registry.recordVersion(notice);
    if (notice.type === "leaving") {
      this.markLeaving(notice.target, notice.incarnation);
    }
    if (notice.type === "limit") this.#recordLimit(notice);
    if (notice.type === "cold") this.#extendCold(notice);
    if (notice.type !== "targets") return;
    for (const report of notice.reports) this.#applyReport(report);
  }

  /** Records a rate that a target names, and passes it on once. */
  #recordLimit(notice: Extract<FleetNotice, { type: "limit" }>): void {
    const { target, incarnation, maxPerSecond } = notice;
    if (!this.registry.recordLimit(target, incarnation, maxPerSecond)) return;
    const { node } = this.#options;
    node.logger.event("targetLimited", { target, maxPerSecond });
    for (const role of Object.values(FleetRole)) node.notifyRole(role, notice);
  }

  /** Records a cold time that a target names, and passes it on once. */
  #extendCold(notice: Extract<FleetNotice, { type: "cold" }>): void {
    const { target, incarnation, isForwarded } = notice;
    const end = { coldMs: notice.coldMs, now: this.#options.now() };
    if (!this.registry.extendCold(target, incarnation, end)) return;
    const { node } = this.#options;
    const forwarded = { ...notice, isForwarded: true };
    if (!isForwarded) node.notifyRole(FleetRole.Control, forwarded);
    node.notifyRole(FleetRole.Entry, forwarded);
    node.notifyRole(FleetRole.Ledger, forwarded);
  }

  /** Merges a report; returns whether it changes what is known. */
  #applyReport(report: TargetReport): boolean {
    const previous = this.registry.get(report.id);
    const change = this.registry.merge(report, this.#options.now());
    if (change !== RegistryChange.Changed) return false;
    this.#onTargetChanged(this.registry.getReportOrThrow(report.id), previous);
    return true;
  }

  #onTargetChanged(
    report: TargetReport,
    previous: RegisteredTarget | undefined,
  ): void {
    const { node, onChanged } = this.#options;
    logTargetChanged(node.logger, report);
    this.#options.publisher.publishTarget(report, previous);
    onChanged();
  }
}

/** Creates the refusal of a deregistration that would have no effect. */
function createUnknownTargetError(): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun, {
    message: "The target is not known here",
  });
}

/** Records what targets say of themselves in their responses. */
import type { ElapsedClock } from "../../core/clock/mod.ts";
import { type FleetNotice, FleetRole } from "../../core/fleet/mod.ts";
import {
  type TargetRegistry,
  type TargetReport,
  type TargetSigns,
  TargetState,
} from "../../core/registry/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import { logTargetChanged } from "./target_log.ts";

/** Options of {@link TargetSignsRecorder}. */
export interface TargetSignsRecorderOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  readonly clock: ElapsedClock;
  /** Called when a target has changed. */
  readonly onTargetsChanged: () => void;
}

/** A pushed message of one type. */
export type NoticeOf<T extends FleetNotice["type"]> = Extract<
  FleetNotice,
  { type: T }
>;

/** Records signs of targets here, and tells the control instances of new ones. */
export class TargetSignsRecorder {
  readonly #options: TargetSignsRecorderOptions;

  constructor(options: TargetSignsRecorderOptions) {
    this.#options = options;
  }

  /** Records what a target says of itself, and tells the control instances. */
  onSigns({ id, incarnation }: TargetReport, signs: TargetSigns): void {
    const { node } = this.#options;
    const { isLeaving, maxPerSecond, coldMs } = signs;
    if (isLeaving) this.#markLeaving(id, incarnation);
    const limit = { target: id, incarnation, maxPerSecond };
    if (this.recordLimit(limit)) {
      node.notifyRole(FleetRole.Control, { type: "limit", ...limit });
    }
    if (coldMs === undefined) return;
    const cold = { target: id, incarnation, coldMs, isForwarded: false };
    if (this.extendCold(cold)) {
      node.notifyRole(FleetRole.Control, { type: "cold", ...cold });
    }
  }

  /**
   * Records the rate that a target names.
   * @returns Whether it was not known.
   */
  recordLimit(limit: Omit<NoticeOf<"limit">, "type">): boolean {
    const { node, registry } = this.#options;
    const { target, incarnation, maxPerSecond } = limit;
    const isNew = registry.recordLimit(target, incarnation, maxPerSecond);
    if (isNew) node.logger.event("targetLimited", { target, maxPerSecond });
    return isNew;
  }

  /**
   * Records for how long a target is cold.
   * @returns Whether that extends the known time.
   */
  extendCold(cold: Omit<NoticeOf<"cold">, "type">): boolean {
    const { registry, clock } = this.#options;
    const { target, incarnation, coldMs } = cold;
    const end = { coldMs, now: clock.now() };
    return registry.extendCold(target, incarnation, end);
  }

  #markLeaving(id: string, incarnation: number): void {
    const { node, registry, onTargetsChanged } = this.#options;
    if (!registry.markLeaving(id, incarnation)) return;
    logTargetChanged(node.logger, registry.getReportOrThrow(id));
    onTargetsChanged();
    node.notifyRole(FleetRole.Control, createLeavingNotice(id, incarnation));
  }

  /**
   * Tells a control instance again of the leaving targets that it takes for
   * ready, for example after its restart.
   */
  repeatLeaving(
    { reports }: NoticeOf<"targets">,
    from: string,
  ): void {
    const { node, registry } = this.#options;
    for (const { id, state, incarnation } of reports) {
      if (state !== TargetState.Ready) continue;
      const known = registry.get(id)?.report;
      const isLeaving = known?.incarnation === incarnation &&
        known.state === TargetState.Draining;
      if (isLeaving) node.notify([from], createLeavingNotice(id, incarnation));
    }
  }
}

function createLeavingNotice(
  target: string,
  incarnation: number,
): FleetNotice {
  return { type: "leaving", target, incarnation };
}

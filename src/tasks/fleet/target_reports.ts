/** What targets say of themselves, at a control instance. */
import type {
  Departure,
  FleetCommand,
  FleetState,
} from "../../core/fleet/mod.ts";
import {
  isNewer,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import { DepartureRecorder } from "./departure_recorder.ts";
import type { FleetPublisher } from "./fleet_publisher.ts";
import { LogCatchUp } from "./log_catch_up.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Options of {@link TargetReports}. */
export interface TargetReportsOptions {
  readonly directory: TargetDirectory;
  readonly publisher: Pick<FleetPublisher, "resendTargets">;
  readonly logger: Pick<Logger, "event">;
  /** Gets the applied state of the control log. */
  readonly state: () => FleetState;
  /** Gets the last entry that this replica has applied. */
  readonly applied: () => number;
  /** Gets the leader's position; see {@link LogCatchUp}. */
  readonly readPosition: () => Promise<number | undefined>;
  /** Gets whether a leader of the control log is known. */
  readonly hasLeader: () => boolean;
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  /** Gets the time, in milliseconds since the Unix epoch. */
  readonly wallNow: () => number;
}

/**
 * Receives heartbeats and deregistrations. That a target leaves is acknowledged
 * once the control log has it: a report that was made before may arrive after
 * all instances have started again. Until a replica has caught up after its
 * start, it keeps what targets report, and does not use it.
 */
export class TargetReports {
  readonly #options: TargetReportsOptions;
  readonly #recorder: DepartureRecorder;
  readonly #catchUp: LogCatchUp;
  /** Latest reports that arrived before this replica had caught up. */
  readonly #early = new Map<string, TargetReport>();

  constructor(options: TargetReportsOptions) {
    this.#options = options;
    const { directory, state, logger } = options;
    const hasLeft = (target: string, incarnation: number) =>
      state().departures.has(target, incarnation);
    directory.registry.setDepartures(hasLeft);
    this.#recorder = new DepartureRecorder({
      ...options,
      isRecorded: hasLeft,
      onUnsupported: () => logger.event("departureUnrecorded"),
    });
    this.#catchUp = new LogCatchUp({
      ...options,
      onDone: () => this.#onCaughtUp(),
    });
  }

  /** Begins to catch up with the control log, once that is open. */
  start(): this {
    this.#catchUp.start();
    return this;
  }

  stop(): void {
    this.#catchUp.stop();
  }

  /**
   * Merges a report; resolves once it may be acknowledged.
   * @throws RefusalError if the target leaves and that is not recorded in time.
   */
  async report(report: TargetReport): Promise<void> {
    if (this.#catchUp.isDone) this.#options.directory.merge(report);
    else this.#keep(report);
    if (report.state !== TargetState.Draining) return;
    await this.#recorder.record(report.id, report.incarnation);
  }

  /**
   * Removes a target that has deregistered; resolves once that may be
   * acknowledged.
   * @param incarnation - Incarnation that leaves; undefined for any.
   * @throws RefusalError if the target is not known here and names no
   *     incarnation, or if its departure is not recorded in time.
   */
  async remove(id: string, incarnation: number | undefined): Promise<void> {
    const { directory } = this.#options;
    const known = directory.registry.get(id)?.report.incarnation;
    if (known !== undefined || incarnation === undefined) {
      directory.remove(id, incarnation);
    }
    const left = incarnation ?? known;
    if (left !== undefined) await this.#recorder.record(id, left);
  }

  /** Applies a command to the known targets that it says have left. */
  onApplied(command: FleetCommand): void {
    if (command.type === "depart") this.#markLeaving(command.departures);
  }

  /** Applies a restored state to the known targets that it says have left. */
  onRestored(): void {
    this.#markLeaving(this.#options.state().departures.all);
  }

  #markLeaving(departures: readonly Departure[]): void {
    for (const { target, incarnation } of departures) {
      this.#options.directory.markLeaving(target, incarnation);
    }
  }

  #keep(report: TargetReport): void {
    const kept = this.#early.get(report.id);
    if (kept !== undefined && !isNewer(report, kept)) return;
    this.#early.set(report.id, report);
  }

  #onCaughtUp(): void {
    const { directory, publisher, state } = this.#options;
    for (const report of this.#early.values()) directory.merge(report);
    this.#early.clear();
    // Instances that kept running may not have been told of the last ones.
    if (state().departures.all.length > 0) publisher.resendTargets();
  }
}

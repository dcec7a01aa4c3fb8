/** State of a target on one instance. */
import { AdaptiveWindow, type AdaptiveWindowOptions } from "../limits/mod.ts";
import { InFlightHistory } from "./in_flight_history.ts";
import { SpeedModel } from "./speed_model.ts";
import {
  TargetEvent,
  TargetLifecycle,
  TargetPhase,
} from "./target_lifecycle.ts";

/** Announcement by which a target registers itself. */
export interface TargetAnnouncement {
  /** Identifier, unique in the system. */
  readonly id: string;
  /** Incarnation; changes whenever the target's process restarts. */
  readonly incarnation: string;
  /** Base URL, such as `http://127.0.0.1:9000`. */
  readonly url: string;
  /** Models and services that the target serves. */
  readonly pools: readonly string[];
  /** Zone in which the target runs. */
  readonly zone: string;
  /** Version of the loaded weights. */
  readonly weightVersion?: number;
}

/** A load report of a target; lags behind its current load. */
export interface LoadReport {
  /** Number of requests that the target was running. */
  readonly running: number;
  /** Number of requests that were queued in the target. */
  readonly waiting: number;
  /** Time at which the report was taken, in milliseconds. */
  readonly at: number;
}

/** Measurement of a finished or running attempt. */
export interface AttemptMeasurement {
  /** Number of generated tokens. */
  readonly tokens: number;
  /** Time since the start of the attempt, in milliseconds. */
  readonly durationMs: number;
}

/** Minimum number of tokens for a progress measurement. */
const MIN_PROGRESS_TOKENS = 4;
/** Consecutive failures after which a target is ejected. */
const EJECT_AFTER_FAILURES = 3;
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 60_000;
/** Consecutive successes after which a probed target serves again. */
const RECOVER_AFTER_SUCCESSES = 3;
/** Age after which a load report expires. */
const REPORT_TTL_MS = 10_000;

/** Tracks the health, load and concurrency window of one target. */
export class Target {
  readonly #lifecycle = new TargetLifecycle();
  readonly #window: AdaptiveWindow;
  /** Requests in flight from this instance: item id to fingerprint. */
  readonly #inFlight = new Map<string, string | undefined>();
  #announcement: TargetAnnouncement;
  readonly #speed = new SpeedModel();
  readonly #history = new InFlightHistory();
  #failuresInRow = 0;
  #successesInRow = 0;
  #ejectionMs = FIRST_EJECTION_MS;
  #ejectedUntil = 0;
  #othersRunning = 0;
  #reportedAt = -Infinity;
  #reservedFor: string | undefined;

  /** Creates a target in phase serving. */
  constructor(
    announcement: TargetAnnouncement,
    window: AdaptiveWindowOptions = {},
  ) {
    this.#announcement = announcement;
    this.#window = new AdaptiveWindow(window);
  }

  /** Gets the identifier. */
  get id(): string {
    return this.#announcement.id;
  }

  /** Gets the latest announcement. */
  get announcement(): TargetAnnouncement {
    return this.#announcement;
  }

  /** Gets the phase of the lifecycle. */
  get phase(): TargetPhase {
    return this.#lifecycle.phase;
  }

  /** Gets the version of the loaded weights; undefined if not announced. */
  get weightVersion(): number | undefined {
    return this.#announcement.weightVersion;
  }

  /** Gets the number of requests in flight from this instance. */
  get inFlight(): number {
    return this.#inFlight.size;
  }

  /** Gets the fingerprints in flight that may crash this target. */
  get fingerprints(): readonly string[] {
    return [...this.#inFlight.values()].filter((k) => k !== undefined);
  }

  /** Gets the maximum number of requests in flight; 1 while probing. */
  get windowSize(): number {
    return this.phase === TargetPhase.Probing ? 1 : this.#window.size;
  }

  /** Gets the item for which the target is reserved. */
  get reservedFor(): string | undefined {
    return this.#reservedFor;
  }

  /** Applies a newer announcement of the same incarnation. */
  update(announcement: TargetAnnouncement): this {
    this.#announcement = announcement;
    return this;
  }

  /** Sets the version of the loaded weights. */
  setWeightVersion(version: number): this {
    this.#announcement = { ...this.#announcement, weightVersion: version };
    return this;
  }

  /**
   * Gets whether the target accepts work, is unreserved and has free capacity.
   */
  hasCapacity(now: number): boolean {
    this.#endEjectionIfDue(now);
    const acceptsWork = this.phase === TargetPhase.Serving ||
      this.phase === TargetPhase.Probing;
    if (!acceptsWork || this.#reservedFor !== undefined) return false;
    return this.inFlight < this.windowSize;
  }

  /** Gets whether the target accepts work, whatever its load. */
  isUsable(now: number): boolean {
    this.#endEjectionIfDue(now);
    return this.phase === TargetPhase.Serving ||
      this.phase === TargetPhase.Probing;
  }

  /**
   * Gets whether the target serves, or may serve again without a new
   * announcement.
   */
  mayServe(): boolean {
    return this.phase !== TargetPhase.Leaving &&
      this.phase !== TargetPhase.Removed;
  }

  /** Gets the expected duration of a request placed now, in milliseconds. */
  expectedMs(tokens: number, now: number): number {
    const isReportExpired = now - this.#reportedAt >= REPORT_TTL_MS;
    const load = isReportExpired ? this.inFlight + 1 : this.#loadWith(1);
    return tokens * this.#speed.msPerTokenAt(load);
  }

  #loadWith(added: number): number {
    return this.inFlight + this.#othersRunning + added;
  }

  /** Gets the requests of other instances, from the latest load report. */
  get othersRunning(): number {
    return this.#othersRunning;
  }

  /** Reserves the target for one item. */
  reserve(itemId: string): this {
    this.#reservedFor = itemId;
    return this;
  }

  /** Releases the reservation. */
  unreserve(): this {
    this.#reservedFor = undefined;
    return this;
  }

  /**
   * Records that a request was placed.
   * @param fingerprint - Undefined for a request that crashes no target.
   */
  onStart(itemId: string, fingerprint: string | undefined, now: number): this {
    this.#inFlight.set(itemId, fingerprint);
    this.#history.record(this.inFlight, now);
    return this;
  }

  /** Records that a request has ended, with any outcome. */
  onEnd(itemId: string, now: number): this {
    this.#inFlight.delete(itemId);
    this.#history.record(this.inFlight, now);
    return this;
  }

  /** Records a completed response. Call it before {@link Target.onEnd}. */
  onSuccess(measurement: AttemptMeasurement): this {
    this.#failuresInRow = 0;
    this.#successesInRow += 1;
    this.#window.onSuccess(this.inFlight);
    if (measurement.tokens > 0) {
      const msPerToken = measurement.durationMs / measurement.tokens;
      this.#speed.add({ load: this.#loadWith(0), msPerToken });
    }
    if (this.phase !== TargetPhase.Probing) return this;
    if (this.#successesInRow < RECOVER_AFTER_SUCCESSES) return this;
    this.#ejectionMs = FIRST_EJECTION_MS;
    this.#lifecycle.send(TargetEvent.Recover);
    return this;
  }

  /** Records the progress of a running attempt. */
  onProgress(measurement: AttemptMeasurement): this {
    if (measurement.tokens < MIN_PROGRESS_TOKENS) return this;
    const msPerToken = measurement.durationMs / measurement.tokens;
    this.#speed.addProgress({ load: this.#loadWith(0), msPerToken });
    return this;
  }

  /** Gets the mean time per token, in milliseconds. */
  get msPerToken(): number {
    return this.#speed.msPerToken;
  }

  /** Records a failed attempt; consecutive failures eject the target. */
  onFailure(now: number): this {
    this.#failuresInRow += 1;
    this.#successesInRow = 0;
    const isProbing = this.phase === TargetPhase.Probing;
    if (!isProbing && this.#failuresInRow < EJECT_AFTER_FAILURES) return this;
    return this.eject(now);
  }

  /** Ejects the target for a time that doubles with each ejection. */
  eject(now: number): this {
    this.#lifecycle.send(TargetEvent.Eject);
    this.#ejectedUntil = now + this.#ejectionMs;
    this.#ejectionMs = Math.min(MAX_EJECTION_MS, this.#ejectionMs * 2);
    this.#failuresInRow = 0;
    return this;
  }

  /** Records that the target reported overload. */
  onOverload(now: number): this {
    this.#window.onOverload(now);
    return this;
  }

  /** Applies a load report; ignored if older than the latest one. */
  onLoadReport(report: LoadReport, now: number): this {
    if (report.at <= this.#reportedAt) return this;
    this.#reportedAt = report.at;
    const total = report.running + report.waiting;
    const own = this.#history.at(report.at);
    this.#othersRunning = Math.max(0, total - own);
    const isAccountedFor = report.at <= this.#window.decreasedAt;
    if (report.waiting === 0 || isAccountedFor) return this;
    const ownShare = Math.min(1, own / total);
    this.#window.onQueueing(Math.round(report.running * ownShare), now);
    return this;
  }

  /** Applies an event to the lifecycle. */
  send(event: TargetEvent): this {
    this.#lifecycle.send(event);
    return this;
  }

  /** Gets the end of the ejection, in milliseconds, if it is ejected. */
  get ejectionEndsAt(): number | undefined {
    return this.phase === TargetPhase.Ejected ? this.#ejectedUntil : undefined;
  }

  #endEjectionIfDue(now: number): void {
    if (this.phase !== TargetPhase.Ejected) return;
    if (now >= this.#ejectedUntil) this.#lifecycle.send(TargetEvent.Probe);
  }
}

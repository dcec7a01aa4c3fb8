/** A target as one instance sees it. */
import { AdaptiveWindow, type AdaptiveWindowOptions } from "../limits/mod.ts";
import { InFlightHistory } from "./in_flight_history.ts";
import { SpeedModel } from "./speed_model.ts";
import {
  TargetEvent,
  TargetLifecycle,
  TargetPhase,
} from "./target_lifecycle.ts";

/** What a target says of itself. */
export interface TargetAnnouncement {
  /** Identifier, unique in the system. */
  readonly id: string;
  /** Changes whenever the target's process starts again. */
  readonly incarnation: string;
  /** Base address, as `http://127.0.0.1:9000`. */
  readonly url: string;
  /** Models and services that it serves. */
  readonly pools: readonly string[];
  /** Zone in which it runs. */
  readonly zone: string;
  /** Version of the weights that it has loaded. */
  readonly weightVersion?: number;
}

/** A load report, which lags behind the truth. */
export interface LoadReport {
  /** Requests that the target was running. */
  readonly running: number;
  /** Requests that waited inside the target. */
  readonly waiting: number;
  /** Time for which the report holds, in milliseconds. */
  readonly at: number;
}

/** Measured figures of a finished attempt. */
export interface AttemptMeasurement {
  /** Tokens generated. */
  readonly tokens: number;
  /** Time from start to end, in milliseconds. */
  readonly durationMs: number;
}

/** Tokens from which progress tells something of the speed. */
const MIN_PROGRESS_TOKENS = 4;
/** Failures in a row that eject a target. */
const EJECT_AFTER_FAILURES = 3;
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 60_000;
/** Successes after which an ejected target is fully back. */
const RECOVER_AFTER_SUCCESSES = 3;
/** Age after which a load report is no longer believed. */
const REPORT_TTL_MS = 10_000;

/** Keeps the health, load and window of one target. */
export class Target {
  readonly #lifecycle = new TargetLifecycle();
  readonly #window: AdaptiveWindow;
  /** Requests in flight from this instance: item id to fingerprint. */
  readonly #inFlight = new Map<string, string>();
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

  /** Creates a target that serves. */
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

  /** Gets the state of the lifecycle. */
  get phase(): TargetPhase {
    return this.#lifecycle.phase;
  }

  /** Gets the version of the loaded weights, where it has said one. */
  get weightVersion(): number | undefined {
    return this.#announcement.weightVersion;
  }

  /** Gets the number of requests in flight from this instance. */
  get inFlight(): number {
    return this.#inFlight.size;
  }

  /** Gets the fingerprints in flight from this instance. */
  get fingerprints(): readonly string[] {
    return [...this.#inFlight.values()];
  }

  /** Gets the current window. */
  get windowSize(): number {
    return this.phase === TargetPhase.Probing ? 1 : this.#window.size;
  }

  /** Gets the item for which the target is kept free. */
  get reservedFor(): string | undefined {
    return this.#reservedFor;
  }

  /** Takes in a newer announcement of the same process. */
  update(announcement: TargetAnnouncement): this {
    this.#announcement = announcement;
    return this;
  }

  /** Sets the version of the loaded weights. */
  setWeightVersion(version: number): this {
    this.#announcement = { ...this.#announcement, weightVersion: version };
    return this;
  }

  /** Gets whether a request may be placed now. */
  hasRoom(now: number): boolean {
    this.#endEjectionIfDue(now);
    const acceptsWork = this.phase === TargetPhase.Serving ||
      this.phase === TargetPhase.Probing;
    if (!acceptsWork || this.#reservedFor !== undefined) return false;
    return this.inFlight < this.windowSize;
  }

  /** Gets whether the target may serve at all, now or once it has room. */
  isUsable(now: number): boolean {
    this.#endEjectionIfDue(now);
    return this.phase === TargetPhase.Serving ||
      this.phase === TargetPhase.Probing;
  }

  /** Gets whether a target serves, or will again without a new announcement. */
  mayServe(): boolean {
    return this.phase !== TargetPhase.Leaving &&
      this.phase !== TargetPhase.Gone;
  }

  /** Gets the expected time of a request placed now, in milliseconds. */
  expectedMs(tokens: number, now: number): number {
    const isReportExpired = now - this.#reportedAt >= REPORT_TTL_MS;
    const load = isReportExpired ? this.inFlight + 1 : this.#loadWith(1);
    return tokens * this.#speed.msPerTokenAt(load);
  }

  #loadWith(added: number): number {
    return this.inFlight + this.#othersRunning + added;
  }

  /** Gets the requests of other instances, by the latest load report. */
  get othersRunning(): number {
    return this.#othersRunning;
  }

  /** Keeps the target free for one item. */
  reserve(itemId: string): this {
    this.#reservedFor = itemId;
    return this;
  }

  /** Ends a reservation. */
  unreserve(): this {
    this.#reservedFor = undefined;
    return this;
  }

  /** Records that a request was placed. */
  onStart(itemId: string, fingerprint: string, now: number): this {
    this.#inFlight.set(itemId, fingerprint);
    this.#history.record(this.inFlight, now);
    return this;
  }

  /** Records that a request left the target, however it ended. */
  onEnd(itemId: string, now: number): this {
    this.#inFlight.delete(itemId);
    this.#history.record(this.inFlight, now);
    return this;
  }

  /** Records a whole answer. Called before {@link Target.onEnd}. */
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

  /** Records how far a running attempt has come. */
  onProgress(measurement: AttemptMeasurement): this {
    if (measurement.tokens < MIN_PROGRESS_TOKENS) return this;
    const msPerToken = measurement.durationMs / measurement.tokens;
    this.#speed.addProgress({ load: this.#loadWith(0), msPerToken });
    return this;
  }

  /** Gets the measured time of a token, in milliseconds. */
  get msPerToken(): number {
    return this.#speed.msPerToken;
  }

  /** Records a failed attempt; several in a row eject the target. */
  onFailure(now: number): this {
    this.#failuresInRow += 1;
    this.#successesInRow = 0;
    const isProbing = this.phase === TargetPhase.Probing;
    if (!isProbing && this.#failuresInRow < EJECT_AFTER_FAILURES) return this;
    return this.eject(now);
  }

  /** Stops work for a pause that doubles each time. */
  eject(now: number): this {
    this.#lifecycle.send(TargetEvent.Eject);
    this.#ejectedUntil = now + this.#ejectionMs;
    this.#ejectionMs = Math.min(MAX_EJECTION_MS, this.#ejectionMs * 2);
    this.#failuresInRow = 0;
    return this;
  }

  /** Records an overload signal. */
  onOverload(now: number): this {
    this.#window.onOverload(now);
    return this;
  }

  /** Takes in a load report; one older than the last is left out. */
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

  /** Sends an event to the lifecycle. */
  send(event: TargetEvent): this {
    this.#lifecycle.send(event);
    return this;
  }

  /** Gets when the pause of an ejected target ends, if it is ejected. */
  get ejectionEndsAt(): number | undefined {
    return this.phase === TargetPhase.Ejected ? this.#ejectedUntil : undefined;
  }

  #endEjectionIfDue(now: number): void {
    if (this.phase !== TargetPhase.Ejected) return;
    if (now >= this.#ejectedUntil) this.#lifecycle.send(TargetEvent.Probe);
  }
}

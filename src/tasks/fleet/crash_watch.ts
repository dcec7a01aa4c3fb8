/** Knowledge of an entry instance of the calls that end targets. */
import {
  type FleetCommand,
  type FleetCommandResult,
  FleetRole,
  type SuspicionUpdate,
} from "../../core/fleet/mod.ts";
import {
  GRANTED_TRIAL,
  OpenDeaths,
  Quarantine,
  Suspicion,
  type SuspicionChange,
  type TargetDeath,
  targetNameOf,
  type TrialReply,
  type TrialRequest,
} from "../../core/quarantine/mod.ts";
import {
  type TargetRegistry,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import type { CrashGuard, TargetPort, TrialWait } from "../calls/mod.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions {
  readonly node: Pick<FleetNode, "logger" | "metrics" | "requestLeader">;
  readonly registry: TargetRegistry;
  readonly targets: Pick<TargetPort, "isRefusing">;
}

const REPORT_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 300;
const TRIAL_TIMEOUT_MS = 800;
/**
 * Interval at which a trial is asked for again: those of other calls end soon,
 * and may show that this one only ran beside them.
 */
const TRIAL_POLL_MS = 30;
/** Longest wait for a trial while the service has no target to spare. */
const MAX_WEAK_WAIT_MS = 300;
/** Retry delay of a call whose trial the control leader did not answer. */
const UNANSWERED_RETRY_MS = 1_000;
/** Maximum number of deaths, and of completed calls, that wait to be sent. */
const MAX_PENDING = 1_000;

/**
 * Finds out under which calls targets end, and shares that through the control
 * log: callers repeat such a call at any entry instance. What this instance has
 * seen itself counts at once, also while it is cut off.
 */
export class CrashWatch implements CrashGuard {
  readonly #options: CrashWatchOptions;
  readonly #quarantine = new Quarantine();
  readonly #openDeaths = new OpenDeaths();
  #version = 0;
  #deaths: readonly TargetDeath[] = [];
  #completed: ReadonlySet<string> = new Set();
  #isSending = false;

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  /** Gets the number of changes of the control log's state applied here. */
  get version(): number {
    return this.#version;
  }

  /**
   * Gets whether a target has ended under a call, or may have while its service
   * has one target left.
   */
  isSuspect(fingerprint: string): boolean {
    const { registry } = this.#options;
    return this.#quarantine.suspicionOf(fingerprint) !== Suspicion.Clear ||
      this.#openDeaths.isLastAtRisk(fingerprint, (s) => registry.readyOf(s));
  }

  /** Gets whether enough targets have ended under a call to refuse it. */
  isProven(fingerprint: string): boolean {
    return this.#quarantine.suspicionOf(fingerprint) === Suspicion.Proven;
  }

  /** Gets the time to the next trial run, in milliseconds. */
  retryAfterMs(fingerprint: string): number {
    return Math.max(0, this.#quarantine.trialAt(fingerprint) - Date.now());
  }

  /**
   * Takes the trial run of a proven call. The control log grants each one to a
   * single instance.
   * @returns Whether the caller may run it, once.
   */
  async takeTrial(fingerprint: string): Promise<boolean> {
    if (this.retryAfterMs(fingerprint) > 0) return false;
    try {
      const command = {
        type: "takeTrial",
        fingerprint,
        at: Date.now(),
      } as const;
      const result = await this.#propose(command, TRIAL_TIMEOUT_MS);
      return result.type === "done";
    } catch (err) {
      this.#logUnreported(err as Error);
      return false;
    }
  }

  /**
   * Records that a target closed the connection of a call. The call is under
   * suspicion if the target has ended, unless it was about to leave.
   */
  async onBroken(fingerprint: string, report: TargetReport): Promise<void> {
    const known = this.#options.registry.get(report.id)?.report;
    const isReady = known?.state === TargetState.Ready &&
      known.incarnation === report.incarnation;
    if (!isReady || !await this.#hasEnded(fingerprint, report)) return;
    const target = targetNameOf(report);
    const death = { fingerprint, target, at: Date.now() };
    const change = this.#quarantine.recordDeath(death);
    if (change === undefined) return;
    this.#options.node.metrics.count("targets.died");
    this.#log(change, target);
    this.#deaths = [...this.#deaths, death].slice(-MAX_PENDING);
    this.#send();
  }

  /** Finds out whether a target has ended, which may take a moment. */
  async #hasEnded(fingerprint: string, report: TargetReport): Promise<boolean> {
    this.#openDeaths.begin(fingerprint, report);
    try {
      return await this.#options.targets.isRefusing(report.address);
    } finally {
      this.#openDeaths.end(fingerprint, report);
    }
  }

  /**
   * Waits for the trial of a call under suspicion, which the control leader
   * grants; a leader that does not answer grants none.
   */
  async awaitTrial(
    fingerprint: string,
    { service, maxWaitMs }: TrialWait,
  ): Promise<TrialReply> {
    const startedAt = performance.now();
    let wasOpen = false;
    while (true) {
      // It is known by now that the target has not ended.
      if (wasOpen && !this.isSuspect(fingerprint)) return GRANTED_TRIAL;
      const isOpen = this.#openDeaths.has(fingerprint);
      wasOpen ||= isOpen;
      const known = this.#quarantine.changeOf(fingerprint);
      const deaths = this.#openDeaths.addTo(known);
      const reply = await this.#askForTrial({
        fingerprint,
        service,
        ...deaths,
      });
      if (reply.isGranted) return reply;
      const isBusy = reply.retryAfterMs <= TRIAL_POLL_MS;
      const waitMs = isBusy ? maxWaitMs : Math.min(maxWaitMs, MAX_WEAK_WAIT_MS);
      const waitedMs = performance.now() - startedAt;
      // The caller returns to another instance, which must know of the deaths.
      const isKnown = this.#deaths.length === 0 && !isOpen;
      if (waitedMs + TRIAL_POLL_MS > (isKnown ? waitMs : maxWaitMs)) {
        return reply;
      }
      await new Promise((resolve) => setTimeout(resolve, TRIAL_POLL_MS));
    }
  }

  /** Tells the control leader that the trial of a call has ended. */
  endTrial(fingerprint: string, service: string): void {
    this.#requestTrial(FleetMethod.EndTrial, { fingerprint, service })
      .catch((err) => this.#logUnreported(err));
  }

  async #askForTrial(request: TrialRequest): Promise<TrialReply> {
    try {
      return await this.#requestTrial(
        FleetMethod.TakeTrial,
        request,
      ) as TrialReply;
    } catch (err) {
      this.#logUnreported(err as Error);
      return { isGranted: false, retryAfterMs: UNANSWERED_RETRY_MS };
    }
  }

  #requestTrial(method: string, params: unknown): Promise<unknown> {
    return this.#options.node.requestLeader(FleetRole.Control, method, {
      params,
      timeoutMs: TRIAL_TIMEOUT_MS,
    });
  }

  /** Records that a target completed a call, which clears its suspicion. */
  onCompleted(fingerprint: string): void {
    if (this.#quarantine.release(fingerprint) === undefined) return;
    this.#deaths = this.#deaths
      .filter((death) => death.fingerprint !== fingerprint);
    const completed = [...this.#completed, fingerprint];
    this.#completed = new Set(completed.slice(-MAX_PENDING));
    this.#send();
  }

  /** Applies changes of the control log's state that were pushed. */
  onPushed({ version, changes }: SuspicionUpdate): void {
    if (version <= this.#version) return;
    if (version === this.#version + 1) this.#version = version;
    this.#apply(changes);
  }

  /** Replaces what is known by the state of the control log. */
  onConfirmed({ version, changes }: SuspicionUpdate): void {
    if (version <= this.#version) return;
    this.#version = version;
    this.#quarantine.load([]);
    this.#apply(changes);
  }

  #apply(changes: readonly SuspicionChange[]): void {
    for (const change of changes) {
      const wasProven = this.isProven(change.fingerprint);
      this.#quarantine.replace(change);
      if (!wasProven && this.isProven(change.fingerprint)) this.#log(change);
    }
    for (const death of this.#deaths) this.#quarantine.recordDeath(death);
    for (const fingerprint of this.#completed) {
      this.#quarantine.release(fingerprint);
    }
  }

  /** Sends what has been seen to the control leader until it is committed. */
  #send(): void {
    const isIdle = this.#deaths.length === 0 && this.#completed.size === 0;
    if (this.#isSending || isIdle) return;
    this.#isSending = true;
    const deaths = this.#deaths;
    const completed = this.#completed;
    this.#propose(
      { type: "reportRuns", deaths, completed: [...completed] },
      REPORT_TIMEOUT_MS,
    )
      .then(() => this.#onSent(deaths, completed))
      .catch((err) => this.#onUnsent(err));
  }

  #onSent(
    deaths: readonly TargetDeath[],
    completed: ReadonlySet<string>,
  ): void {
    this.#deaths = this.#deaths.filter((death) => !deaths.includes(death));
    this.#completed = new Set(
      [...this.#completed].filter((key) => !completed.has(key)),
    );
    this.#isSending = false;
    this.#send();
  }

  #onUnsent(err: Error): void {
    this.#logUnreported(err);
    setTimeout(() => {
      this.#isSending = false;
      this.#send();
    }, RETRY_DELAY_MS);
  }

  async #propose(
    command: FleetCommand,
    timeoutMs: number,
  ): Promise<FleetCommandResult> {
    const { node } = this.#options;
    return await node.requestLeader(FleetRole.Control, FleetMethod.Propose, {
      params: command,
      timeoutMs,
    }) as FleetCommandResult;
  }

  #log({ fingerprint, suspicion, deaths }: SuspicionChange, target?: string) {
    const isProven = suspicion === Suspicion.Proven;
    this.#options.node.logger.event(
      isProven ? "requestQuarantined" : "requestSuspected",
      { fingerprint, deaths, target },
    );
  }

  #logUnreported({ message }: Error): void {
    this.#options.node.logger.event("suspicionUnreported", { reason: message });
  }
}

/** Execution of a single call, with retries and hedging. */
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type CallRequest,
  type CallResponse,
  LatencyTracker,
  rankTargets,
} from "../../core/calls/mod.ts";
import { RouteKind } from "../../core/policy/mod.ts";
import {
  type TargetRegistry,
  type TargetReport,
  type TargetSigns,
  TargetState,
} from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { fingerprintOf } from "./call_fingerprint.ts";
import type { Admission } from "./call_gate.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { RateGuard } from "./rate_guard.ts";
import type {
  AttemptOutcome,
  CallAttempt,
  ResponseStream,
  TargetPort,
} from "./target_port.ts";

/** Dependencies that all runs of an instance share. */
export interface CallRunDependencies {
  readonly targets: TargetPort;
  readonly registry: TargetRegistry;
  readonly latencies: LatencyTracker;
  readonly crashes: CrashGuard;
  readonly rates: RateGuard;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  /** Called once per call, when a target may first have run it. */
  readonly onFirstRun: (workspace: string | undefined) => void;
  /** Called with what a target says of itself in a response. */
  readonly onSigns: (target: TargetReport, signs: TargetSigns) => void;
  /**
   * Waits briefly for a valid policy lease, for example after the process was
   * suspended; false if there is none in time.
   */
  readonly awaitLease: () => Promise<boolean>;
}

/** Options of {@link CallRun}. */
export interface CallRunOptions {
  readonly call: CallRequest;
  readonly admission: Admission;
  readonly signal: AbortSignal;
  /**
   * Receives the response as it arrives; if undefined, the response is read
   * completely and returned.
   */
  readonly stream: ResponseStream | undefined;
}

/** Minimum remaining time for which a further attempt is started. */
const MIN_ATTEMPT_MS = 30;
/** Fraction of the route's latency objective after which a hedge is sent. */
const HEDGE_DELAY_FRACTION = 0.6;
const RETRY_AFTER_MS = 300;
/** Fraction of the route's latency objective that a permit is waited for. */
const PERMIT_WAIT_FRACTION = 0.5;
const MIN_ERROR_STATUS = 500;
/**
 * Time before the route's or the caller's timeout at which a call ends, so that
 * its response or refusal is sent before that timeout.
 */
const RESPONSE_MARGIN_MS = 40;

/** Tries targets until one responds or the time is up. */
export class CallRun {
  readonly #dependencies: CallRunDependencies;
  readonly #options: CallRunOptions;
  /** IDs of the targets to which the call has been sent. */
  readonly #triedTargets = new Set<string>();
  readonly #deadline: number;
  #verdict: Verdict = Verdict.NotRun;
  #errorResponse: CallResponse | undefined;
  #lastFailure = "";
  #retryAfterMs = RETRY_AFTER_MS;
  /**
   * Number of attempts that may have run the call, including those in flight.
   */
  #attemptsRun = 0;
  #failedResponses = 0;
  #knownFingerprint: string | undefined;

  constructor(dependencies: CallRunDependencies, options: CallRunOptions) {
    this.#dependencies = dependencies;
    this.#options = options;
    const { route } = options.admission;
    const callTimeoutMs = options.call.timeoutMs ?? Infinity;
    const timeMs = Math.min(route.timeoutMs, callTimeoutMs) -
      RESPONSE_MARGIN_MS;
    this.#deadline = performance.now() + timeMs;
  }

  /**
   * Runs the call.
   * @throws RefusalError whose verdict states whether the call may have run.
   */
  async run(): Promise<CallResponse> {
    const { maxAttempts } = this.#options.admission.route;
    await this.#throwIfQuarantined();
    while (
      this.#attemptsRun < maxAttempts && this.#remainingMs > MIN_ATTEMPT_MS
    ) {
      const target = await this.#nextTarget();
      if (target === undefined) break;
      const response = this.#isRetryable && this.#options.stream === undefined
        ? await this.#attemptWithHedge(target)
        : await this.#attempt(target, this.#options.signal);
      if (response !== undefined) return response;
      if (this.#options.signal.aborted) break;
      if (!this.#isRetryable && this.#verdict !== Verdict.NotRun) break;
      if (this.#dependencies.crashes.isProven(this.#fingerprint)) break;
      if (!await this.#mayRetry()) break;
    }
    if (this.#errorResponse !== undefined) return this.#errorResponse;
    throw this.#createRefusal();
  }

  /** Gets the number of responses in which a target ran the call and failed. */
  get failedResponses(): number {
    return this.#failedResponses;
  }

  get #remainingMs(): number {
    return this.#deadline - performance.now();
  }

  get #isRetryable(): boolean {
    const { kind, isResumable } = this.#options.admission.route;
    return kind === RouteKind.Idempotent ||
      (kind === RouteKind.Streaming && isResumable);
  }

  /** Refuses a call under which targets ended, unless its trial run is due. */
  async #throwIfQuarantined(): Promise<void> {
    const { crashes } = this.#dependencies;
    const fingerprint = this.#fingerprint;
    if (!crashes.isProven(fingerprint)) return;
    if (await crashes.takeTrial(fingerprint)) return;
    throw new RefusalError(RefusalReason.Quarantined, Verdict.NotRun, {
      message: `Targets ended under this request (${fingerprint})`,
      retryAfterMs: crashes.retryAfterMs(fingerprint),
    });
  }

  /**
   * Confirms the policy before a retry, since the caller's key may have been
   * withdrawn in the meantime.
   */
  async #mayRetry(): Promise<boolean> {
    if (this.#options.admission.workspace === undefined) return true;
    return await this.#dependencies.awaitLease();
  }

  /** Gets the target of the next attempt; a permit for it has been taken. */
  async #nextTarget(): Promise<TargetReport | undefined> {
    const ranked = this.#rankTargets();
    const best = ranked[0];
    if (best === undefined || !this.#isLimited(best)) return best;
    return await this.#takePermit(ranked.filter((k) => this.#isLimited(k))) ??
      this.#rankTargets().find((k) => !this.#isLimited(k));
  }

  /**
   * Takes a permit for one of some limited targets, and waits until it is due.
   * A longer wait than that within the route's objective serves nobody better
   * than a refusal that says when to come back.
   */
  async #takePermit(
    limited: readonly TargetReport[],
  ): Promise<TargetReport | undefined> {
    const { rates, registry } = this.#dependencies;
    const { objectiveMs } = this.#options.admission.route;
    const maxWaitMs = Math.min(
      objectiveMs * PERMIT_WAIT_FRACTION,
      this.#remainingMs / 2,
    );
    const { permit, retryAfterMs } = await rates.acquire(limited, maxWaitMs);
    if (permit === undefined) {
      this.#retryAfterMs = Math.max(RETRY_AFTER_MS, retryAfterMs);
      this.#lastFailure = "Targets are at the limit that they name";
      return undefined;
    }
    const { target, afterMs } = permit;
    if (afterMs > 0) await sleep(afterMs);
    const isUsable = registry.get(target.id)?.report.state ===
      TargetState.Ready;
    return isUsable && await this.#mayRetry() ? target : undefined;
  }

  #isLimited(target: TargetReport): boolean {
    return this.#dependencies.rates.isLimited(target);
  }

  /** Gets the targets that may run the call, the best ones first. */
  #rankTargets(): TargetReport[] {
    const { registry, latencies, dataCentre } = this.#dependencies;
    const ready = registry.readyOf(this.#pickService());
    const now = performance.now();
    const ranked = rankTargets({
      dataCentre,
      tried: this.#triedTargets,
      targets: ready.map(({ report }) => ({
        id: report.id,
        dataCentre: report.dataCentre,
        inFlight: latencies.inFlight(report.id),
        latencyMs: latencies.latencyMs(report.id),
        isSuspect: latencies.isSuspect(report.id, now),
        isLimited: this.#isLimited(report),
      })),
    });
    return ranked.map(({ id }) => registry.getReportOrThrow(id));
  }

  /**
   * Picks a service by weight. The choice is derived from the call ID, so that
   * all attempts of a call use the same service.
   */
  #pickService(): string {
    const { shares } = this.#options.admission.route;
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let point = toUnitInterval(this.#options.call.id) * total;
    for (const { service, weight } of shares) {
      point -= weight;
      if (point < 0) return service;
    }
    return shares[shares.length - 1].service;
  }

  /**
   * Sends a hedge to a second target if the first one is slow, and returns the
   * first response.
   */
  async #attemptWithHedge(
    target: TargetReport,
  ): Promise<CallResponse | undefined> {
    const { route } = this.#options.admission;
    const hedge = new AbortController();
    const onAbort = () => hedge.abort();
    this.#options.signal.addEventListener("abort", onAbort, { once: true });
    try {
      const first = this.#attempt(target, hedge.signal);
      const hedgeDelayMs = Math.min(
        route.objectiveMs * HEDGE_DELAY_FRACTION,
        this.#remainingMs / 2,
      );
      const firstSettled = await settleWithin(first, hedgeDelayMs);
      if (firstSettled.isSettled) return firstSettled.value;
      const mayHedge = this.#attemptsRun < route.maxAttempts &&
        !this.#dependencies.crashes.isSuspect(this.#fingerprint);
      const second = mayHedge
        ? this.#rankTargets().find((k) => !this.#isLimited(k))
        : undefined;
      if (second === undefined) return await first;
      this.#dependencies.logger.event("callRetried", {
        request: this.#options.call.id,
        target: second.id,
        reason: "slow",
        waitedMs: Math.round(hedgeDelayMs),
      });
      return await firstResponse([first, this.#attempt(second, hedge.signal)]);
    } finally {
      this.#options.signal.removeEventListener("abort", onAbort);
      hedge.abort();
    }
  }

  async #attempt(
    report: TargetReport,
    signal: AbortSignal,
  ): Promise<CallResponse | undefined> {
    const { latencies } = this.#dependencies;
    const { call, admission, stream } = this.#options;
    this.#triedTargets.add(report.id);
    this.#attemptsRun += 1;
    this.#logPlaced(report);
    latencies.onSent(report.id);
    const startedAt = performance.now();
    const attempt: CallAttempt = {
      call,
      target: report,
      workspace: admission.workspace?.name,
      timeoutMs: Math.max(1, this.#remainingMs),
      signal,
      maxConnections: admission.policy.getService(report.service)
        ?.maxConnections ?? 1,
      onSigns: (signs) => this.#dependencies.onSigns(report, signs),
    };
    const outcome = stream === undefined
      ? await this.#dependencies.targets.send(attempt)
      : await this.#dependencies.targets.stream(attempt, stream);
    const now = performance.now();
    latencies.onEnded(report.id, {
      latencyMs: now - startedAt,
      isFailure: isFailure(outcome) && !signal.aborted,
      now,
    });
    if (outcome.type === "failed" && outcome.isBroken && !signal.aborted) {
      await this.#reportBroken(report);
    }
    return this.#handleOutcome(outcome, report.id);
  }

  /**
   * Reports a broken connection. Only the end of a further target is awaited,
   * since it may be the last that this call may cost.
   */
  async #reportBroken(target: TargetReport): Promise<void> {
    const { crashes, logger } = this.#dependencies;
    const isSuspect = crashes.isSuspect(this.#fingerprint);
    const reported = crashes.onBroken(this.#fingerprint, target)
      .catch((err) => logger.error(err));
    if (isSuspect) await reported;
  }

  #logPlaced(report: TargetReport): void {
    const { latencies, logger } = this.#dependencies;
    const { call, admission } = this.#options;
    logger.event("callPlaced", {
      request: call.id,
      target: report.id,
      attempt: this.#triedTargets.size,
      inFlight: latencies.inFlight(report.id),
      latencyMs: Math.round(latencies.latencyMs(report.id)),
      leftMs: Math.round(this.#remainingMs),
      revision: admission.policy.revision,
    });
  }

  /** Gets the response that ends the call; undefined if it may be retried. */
  #handleOutcome(
    outcome: AttemptOutcome,
    target: string,
  ): CallResponse | undefined {
    if (outcome.type === "failed") {
      if (outcome.mayHaveRun) this.#recordVerdict(Verdict.MayHaveRun);
      else this.#attemptsRun -= 1;
      this.#recordRetry(target, outcome.detail);
      return undefined;
    }
    const { answer: response, isNotRun, isMisdirected } = outcome;
    if (isNotRun || isMisdirected) {
      this.#attemptsRun -= 1;
      this.#recordRetry(target, `Not run: ${response.status}`);
      return undefined;
    }
    this.#recordVerdict(Verdict.Ran);
    if (response.status >= MIN_ERROR_STATUS) this.#failedResponses += 1;
    this.#dependencies.crashes.onCompleted(this.#fingerprint);
    const isFinal = response.status < MIN_ERROR_STATUS || !this.#isRetryable;
    if (isFinal) return response;
    this.#errorResponse = response;
    this.#recordRetry(target, `Answered ${response.status}`);
    return undefined;
  }

  #recordVerdict(verdict: Verdict): void {
    if (this.#verdict === Verdict.NotRun) {
      this.#dependencies.onFirstRun(this.#options.admission.workspace?.name);
    }
    this.#verdict = verdict;
  }

  #recordRetry(target: string, detail: string): void {
    this.#lastFailure = detail;
    if (this.#options.signal.aborted) return;
    this.#dependencies.metrics.count("calls.retried");
    this.#dependencies.logger.event("callRetried", {
      request: this.#options.call.id,
      target,
      reason: detail,
      leftMs: Math.round(this.#remainingMs),
      fingerprint: this.#fingerprint,
    });
  }

  /** Gets the fingerprint, which is computed only once it is needed. */
  get #fingerprint(): string {
    const { call, admission } = this.#options;
    this.#knownFingerprint ??= fingerprintOf(call, admission.workspace?.name);
    return this.#knownFingerprint;
  }

  #createRefusal(): RefusalError {
    const isLate = this.#remainingMs <= MIN_ATTEMPT_MS;
    if (this.#verdict === Verdict.NotRun) {
      return new RefusalError(RefusalReason.NoTarget, Verdict.NotRun, {
        message: this.#lastFailure || "No target takes the call",
        retryAfterMs: this.#retryAfterMs,
      });
    }
    const reason = isLate
      ? RefusalReason.TargetTimeout
      : RefusalReason.TargetFailed;
    return new RefusalError(reason, this.#verdict, {
      message: this.#lastFailure,
    });
  }
}

function isFailure(outcome: AttemptOutcome): boolean {
  if (outcome.type === "failed") return true;
  return outcome.isMisdirected || outcome.answer.status >= MIN_ERROR_STATUS;
}

/** Hashes a text to a number in the range [0, 1). */
function toUnitInterval(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}

type SettledResult<T> =
  | { readonly isSettled: true; readonly value: T }
  | { readonly isSettled: false };

async function settleWithin<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<SettledResult<T>> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<SettledResult<T>>((resolve) => {
    timer = setTimeout(() => resolve({ isSettled: false }), timeoutMs);
  });
  const settled = promise.then((value) =>
    ({ isSettled: true, value }) as const
  );
  try {
    return await Promise.race([settled, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Gets the first response; undefined if every attempt ends without one. */
function firstResponse(
  attempts: readonly Promise<CallResponse | undefined>[],
): Promise<CallResponse | undefined> {
  return new Promise((resolve) => {
    let pending = attempts.length;
    for (const attempt of attempts) {
      attempt.then((response) => {
        pending -= 1;
        if (response !== undefined || pending === 0) resolve(response);
      });
    }
  });
}

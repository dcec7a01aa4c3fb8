/** Execution of a single call, with retries and hedging. */
import type { CallResponse } from "../../core/calls/mod.ts";
import { homesOf, RouteKind } from "../../core/policy/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";
import { MIN_ATTEMPT_MS, RESPONSE_MARGIN_MS } from "../../core/retry/mod.ts";
import { Verdict } from "../../core/verdict/mod.ts";
import {
  isErrorStatus,
  isFailure,
  isRefusal,
  isWithheld,
} from "./attempt_outcome.ts";
import { fingerprintOf } from "./call_fingerprint.ts";
import { CallOutput } from "./call_output.ts";
import { createCallRefusal } from "./call_refusal.ts";
import { CallTargets } from "./call_targets.ts";
import { leaseWaitMs } from "./lease_wait.ts";
import { isFinalReason, type WithheldReason } from "../send_guard.ts";
import { firstDefined, settleWithin } from "../settle.ts";
import type {
  CallRunDependencies,
  CallRunOptions,
} from "./call_run_options.ts";
import { CallTrace } from "./call_trace.ts";
import { CallTrial } from "./call_trial.ts";
import type { AttemptOutcome, CallAttempt } from "./target_port.ts";

/** Fraction of the route's latency objective after which a hedge is sent. */
const HEDGE_DELAY_FRACTION = 0.6;

/** Tries targets until one responds or the time is up. */
export class CallRun {
  readonly #dependencies: CallRunDependencies;
  readonly #options: CallRunOptions;
  readonly #targets: CallTargets;
  readonly #trace: CallTrace;
  readonly #output: CallOutput;
  readonly #trial: CallTrial;
  readonly #deadline: number;
  #verdict: Verdict = Verdict.NotRun;
  #errorResponse: CallResponse | undefined;
  #lastFailure = "";
  /**
   * Number of attempts that may have run the call, including those in flight.
   */
  #attemptsRun = 0;
  #failedResponses = 0;
  /** Why the last attempt was not sent; undefined if it was. */
  #withheld: WithheldReason | undefined;

  constructor(dependencies: CallRunDependencies, options: CallRunOptions) {
    this.#dependencies = dependencies;
    this.#options = options;
    this.#trace = new CallTrace(dependencies, options);
    const { route, workspace } = options.admission;
    const callTimeoutMs = options.call.timeoutMs ?? Infinity;
    const timeMs = Math.min(route.timeoutMs, callTimeoutMs) -
      RESPONSE_MARGIN_MS;
    this.#deadline = performance.now() + timeMs;
    this.#output = new CallOutput({
      ...options,
      isResumable: this.#isRetryable,
      onProgress: () => this.#trial.onProgress(),
    });
    this.#targets = new CallTargets({
      ...dependencies,
      route,
      homes: options.homes ?? homesOf(route, workspace),
      call: options.call.id,
      written: () => this.#output.written,
      hasHead: () => this.#output.hasHead,
    });
    this.#trial = new CallTrial({
      crashes: dependencies.crashes,
      logger: dependencies.logger,
      computeFingerprint: () =>
        fingerprintOf(options.call, options.admission.workspace?.name),
      service: () => this.#targets.service,
      hasRun: options.written !== undefined,
    });
  }

  /**
   * Runs the call.
   * @throws RefusalError whose verdict states whether the call may have run.
   */
  async run(): Promise<CallResponse> {
    try {
      return await this.#tryTargets();
    } finally {
      this.#trial.end();
    }
  }

  async #tryTargets(): Promise<CallResponse> {
    const { maxAttempts } = this.#options.admission.route;
    await this.#trial.throwIfQuarantined();
    while (
      this.#attemptsRun < maxAttempts && this.#remainingMs > MIN_ATTEMPT_MS
    ) {
      if (!await this.#trial.begin(this.#remainingMs)) break;
      const target = await this.#targets.next(this.#remainingMs);
      if (target === undefined || this.#options.signal.aborted) break;
      if (this.#hasWaitedFor(target) && !await this.#hasLease()) break;
      const response = this.#isRetryable && this.#options.stream === undefined
        ? await this.#attemptWithHedge(target)
        : await this.#attempt(target, this.#options.signal);
      if (response !== undefined) return response;
      if (this.#options.signal.aborted || this.#output.isCutShort) break;
      if (isFinalReason(this.#withheld)) break;
      if (!this.#isRetryable && this.#verdict !== Verdict.NotRun) break;
      if (this.#trial.isProven) break;
    }
    if (this.#errorResponse !== undefined && !this.#output.hasHead) {
      return this.#errorResponse;
    }
    throw createCallRefusal({
      verdict: this.#verdict,
      withheld: this.#withheld,
      trialAfterMs: this.#trial.retryAfterMs,
      isLate: this.#remainingMs <= MIN_ATTEMPT_MS,
      permitAfterMs: this.#targets.permitAfterMs,
      isOutsideHomes: this.#targets.isOutsideHomes,
      written: this.#output.written,
      lastFailure: this.#lastFailure,
      call: this.#options.call.id,
      drainMs: this.#targets.drainMs,
    });
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

  /** Gets whether an attempt or a permit has taken time since the admission. */
  #hasWaitedFor(target: TargetReport): boolean {
    return this.#targets.sentCount > 0 || this.#withheld !== undefined ||
      this.#dependencies.rates.isLimited(target);
  }

  /**
   * Confirms the policy before a delayed attempt, since the caller's key may
   * have been withdrawn in the meantime.
   */
  async #hasLease(): Promise<boolean> {
    const { route, workspace } = this.#options.admission;
    if (workspace === undefined || route.isAnonymous) return true;
    return await this.#dependencies.awaitLease(leaseWaitMs(this.#remainingMs));
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
      const mayHedge = this.#mayHedge(target);
      const first = this.#attempt(target, hedge.signal, mayHedge);
      const hedgeDelayMs = Math.min(
        route.objectiveMs * HEDGE_DELAY_FRACTION,
        this.#remainingMs / 2,
      );
      const firstSettled = await settleWithin(first, hedgeDelayMs);
      if (firstSettled.isSettled) return firstSettled.value;
      const second = mayHedge && !this.#trial.isSuspect
        ? this.#targets.nextUnlimited()
        : undefined;
      if (second === undefined) return await first;
      this.#trace.hedged(target.id, { target: second.id, hedgeDelayMs });
      return await firstDefined([first, this.#attempt(second, hedge.signal)]);
    } finally {
      this.#options.signal.removeEventListener("abort", onAbort);
      hedge.abort();
    }
  }

  /** Gets whether another target may run the call beside its next one. */
  #mayHedge(next: TargetReport): boolean {
    return this.#attemptsRun + 1 < this.#options.admission.route.maxAttempts &&
      this.#targets.hasUnlimitedBeside(next) &&
      !this.#trial.isSuspect;
  }

  /**
   * Sends the call to a target.
   * @param isHedged - Whether the call is sent to another target if nothing comes
   *   back from this one.
   */
  async #attempt(
    report: TargetReport,
    signal: AbortSignal,
    isHedged = false,
  ): Promise<CallResponse | undefined> {
    const { latencies, rates, registry } = this.#dependencies;
    const { call, admission } = this.#options;
    const checkTarget = this.#targets.markTried(report);
    this.#attemptsRun += 1;
    this.#trace.placed(report, {
      attempt: this.#targets.sentCount,
      leftMs: this.#remainingMs,
      written: this.#output.written,
      resumeAfter: this.#output.lastEventId,
    });
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
      needsLive: !isHedged,
      guard: () => checkTarget() ?? admission.guard?.(),
      onConnection: (getState) => this.#trace.onConnection(report.id, getState),
      ...this.#output.attemptAt(report),
    };
    const sink = this.#output.beginAttempt();
    const outcome = this.#output.checkEnd(
      sink === undefined
        ? await this.#dependencies.targets.send(attempt)
        : await this.#dependencies.targets.stream(attempt, sink),
    );
    const now = performance.now();
    latencies.onEnded(report.id, {
      latencyMs: now - startedAt,
      isFailure: isFailure(outcome) && !signal.aborted &&
        !registry.isEvacuated(report.dataCentre),
      isRefusal: isRefusal(outcome),
      isWithheld: isWithheld(outcome),
      now,
    });
    if (outcome.type === "failed" && !signal.aborted) {
      if (outcome.isBroken || outcome.isRefused) rates.onLost?.(report);
      if (outcome.isBroken) await this.#trial.reportBroken(report);
    }
    return this.#handleOutcome(outcome, report.id);
  }

  /** Gets the response that ends the call; undefined if it may be retried. */
  #handleOutcome(
    outcome: AttemptOutcome,
    target: string,
  ): CallResponse | undefined {
    if (outcome.type === "failed") {
      if (outcome.mayHaveRun) this.#recordVerdict(Verdict.MayHaveRun);
      else this.#attemptsRun -= 1;
      this.#withheld = outcome.withheld;
      if (outcome.withheld !== undefined) this.#targets.markWithheld(target);
      if (outcome.mayHaveRun) this.#trial.end();
      this.#recordRetry(target, outcome.detail);
      return undefined;
    }
    const { answer: response, isNotRun, isMisdirected } = outcome;
    if (isNotRun || isMisdirected) {
      if (isNotRun) this.#targets.markFull(target);
      this.#attemptsRun -= 1;
      if (isRefusal(outcome)) this.#targets.countRefusal();
      this.#recordRetry(target, `Not run: ${response.status}`);
      return undefined;
    }
    this.#recordVerdict(Verdict.Ran);
    this.#trial.end();
    this.#output.end();
    if (isErrorStatus(response.status)) this.#failedResponses += 1;
    this.#trial.onCompleted();
    const isFinal = !isErrorStatus(response.status) || !this.#isRetryable;
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
    this.#trace.retried(target, {
      reason: detail,
      leftMs: this.#remainingMs,
      fingerprint: this.#trial.fingerprint,
    });
  }
}

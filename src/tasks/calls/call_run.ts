/** One call on its way over the targets. */
import { createHash } from "node:crypto";
import {
  type CallAnswer,
  type CallRequest,
  LatencyBook,
  placeCall,
} from "../../core/calls/mod.ts";
import { RouteKind } from "../../core/policy/mod.ts";
import type {
  RegisteredTarget,
  TargetRegistry,
  TargetReport,
} from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { Admission } from "./call_gate.ts";
import type {
  AnswerStream,
  AttemptOutcome,
  CallAttempt,
  TargetPort,
} from "./target_port.ts";

/** What a run relies on. */
export interface CallRunParts {
  readonly targets: TargetPort;
  readonly registry: TargetRegistry;
  readonly book: LatencyBook;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  /** Hears that a target has begun to run the call. */
  readonly onRan: (workspace: string | undefined) => void;
  /** Waits shortly for a confirmed policy, as after a freeze. */
  readonly awaitLease: () => Promise<boolean>;
}

/** Options of {@link CallRun}. */
export interface CallRunOptions {
  readonly call: CallRequest;
  readonly admission: Admission;
  readonly signal: AbortSignal;
  /** Passes the answer on as it comes; it is read whole where absent. */
  readonly stream: AnswerStream | undefined;
}

/** Time left for which a further attempt is worth its start. */
const MIN_ATTEMPT_MS = 30;
/** Part of the objective after which another target is asked as well. */
const HEDGE_SHARE = 0.6;
const RETRY_AFTER_MS = 300;
const FIRST_ERROR_STATUS = 500;
/** Time by which the own answer comes before the route's time is up. */
const ANSWER_MARGIN_MS = 40;

/** Tries targets until one has answered or the time is up. */
export class CallRun {
  readonly #parts: CallRunParts;
  readonly #options: CallRunOptions;
  readonly #tried = new Set<string>();
  readonly #endsAt: number;
  #verdict: Verdict = Verdict.NotRun;
  #failure: CallAnswer | undefined;
  #detail = "";
  #ranOn = 0;

  /** Creates the run of a call that was let in. */
  constructor(parts: CallRunParts, options: CallRunOptions) {
    this.#parts = parts;
    this.#options = options;
    const { route } = options.admission;
    const patienceMs = options.call.patienceMs ?? Infinity;
    const timeMs = Math.min(route.timeoutMs, patienceMs) - ANSWER_MARGIN_MS;
    this.#endsAt = performance.now() + timeMs;
  }

  /**
   * Runs the call.
   * @throws RefusalError whose verdict says whether it may have run.
   */
  async run(): Promise<CallAnswer> {
    const { maxAttempts } = this.#options.admission.route;
    while (this.#ranOn < maxAttempts && this.#leftMs > MIN_ATTEMPT_MS) {
      const target = this.#pick();
      if (target === undefined) break;
      const answer = this.#isRepeatable && this.#options.stream === undefined
        ? await this.#hedged(target)
        : await this.#attempt(target, this.#options.signal);
      if (answer !== undefined) return answer;
      if (this.#options.signal.aborted) break;
      if (!this.#isRepeatable && this.#verdict !== Verdict.NotRun) break;
      if (!await this.#mayGoOn()) break;
    }
    if (this.#failure !== undefined) return this.#failure;
    throw this.#refusal();
  }

  get #leftMs(): number {
    return this.#endsAt - performance.now();
  }

  get #isRepeatable(): boolean {
    const { kind, isResumable } = this.#options.admission.route;
    return kind === RouteKind.Idempotent ||
      (kind === RouteKind.Streaming && isResumable);
  }

  /** After a wait the key may have been withdrawn. */
  async #mayGoOn(): Promise<boolean> {
    if (this.#options.admission.workspace === undefined) return true;
    return await this.#parts.awaitLease();
  }

  #pick(): RegisteredTarget | undefined {
    const { registry, book, dataCentre } = this.#parts;
    const service = this.#pickService();
    const ready = registry.readyOf(service);
    const now = performance.now();
    const chosen = placeCall({
      dataCentre,
      tried: this.#tried,
      targets: ready.map(({ report }) => ({
        id: report.id,
        dataCentre: report.dataCentre,
        inFlight: book.inFlight(report.id),
        latencyMs: book.latencyMs(report.id),
        isSuspect: book.isSuspect(report.id, now),
      })),
    });
    return ready.find(({ report }) => report.id === chosen?.id);
  }

  /** The share is drawn from the call's identifier, so it stays the same. */
  #pickService(): string {
    const { shares } = this.#options.admission.route;
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let point = unitOf(this.#options.call.id) * total;
    for (const { service, weight } of shares) {
      point -= weight;
      if (point < 0) return service;
    }
    return shares[shares.length - 1].service;
  }

  /** Asks a second target where the first one is late; the first answer counts. */
  async #hedged(target: RegisteredTarget): Promise<CallAnswer | undefined> {
    const { route } = this.#options.admission;
    const hedge = new AbortController();
    const onAbort = () => hedge.abort();
    this.#options.signal.addEventListener("abort", onAbort, { once: true });
    try {
      const first = this.#attempt(target, hedge.signal);
      const pauseMs = Math.min(
        route.objectiveMs * HEDGE_SHARE,
        this.#leftMs / 2,
      );
      const early = await settledWithin(first, pauseMs);
      if (early.isSettled) return early.value;
      const second = this.#ranOn < route.maxAttempts ? this.#pick() : undefined;
      if (second === undefined) return await first;
      this.#parts.logger.event("callRetried", {
        request: this.#options.call.id,
        target: second.report.id,
        reason: "slow",
        waitedMs: Math.round(pauseMs),
      });
      return await firstAnswer([first, this.#attempt(second, hedge.signal)]);
    } finally {
      this.#options.signal.removeEventListener("abort", onAbort);
      hedge.abort();
    }
  }

  async #attempt(
    { report }: RegisteredTarget,
    signal: AbortSignal,
  ): Promise<CallAnswer | undefined> {
    const { book } = this.#parts;
    const { call, admission, stream } = this.#options;
    this.#tried.add(report.id);
    this.#ranOn += 1;
    this.#logPlaced(report);
    book.onSent(report.id);
    const startedAt = performance.now();
    const attempt: CallAttempt = {
      call,
      target: report,
      workspace: admission.workspace?.name,
      timeoutMs: Math.max(1, this.#leftMs),
      signal,
      maxConnections: admission.policy.getService(report.service)
        ?.maxConnections ?? 1,
    };
    const outcome = stream === undefined
      ? await this.#parts.targets.send(attempt)
      : await this.#parts.targets.stream(attempt, stream);
    const now = performance.now();
    book.onEnded(report.id, {
      latencyMs: now - startedAt,
      isFailure: isFailure(outcome) && !signal.aborted,
      now,
    });
    return this.#settle(outcome, report.id);
  }

  #logPlaced(report: TargetReport): void {
    const { book, logger } = this.#parts;
    const { call, admission } = this.#options;
    logger.event("callPlaced", {
      request: call.id,
      target: report.id,
      attempt: this.#tried.size,
      inFlight: book.inFlight(report.id),
      latencyMs: Math.round(book.latencyMs(report.id)),
      leftMs: Math.round(this.#leftMs),
      revision: admission.policy.revision,
    });
  }

  /** Gets the answer that ends the call, or undefined where it goes on. */
  #settle(outcome: AttemptOutcome, target: string): CallAnswer | undefined {
    if (outcome.type === "failed") {
      if (outcome.mayHaveRun) this.#onRan(Verdict.MayHaveRun);
      else this.#ranOn -= 1;
      this.#note(target, outcome.detail);
      return undefined;
    }
    const { answer, isNotRun, isMisdirected } = outcome;
    if (isNotRun || isMisdirected) {
      this.#ranOn -= 1;
      this.#note(target, `Not run: ${answer.status}`);
      return undefined;
    }
    this.#onRan(Verdict.Ran);
    const isFinal = answer.status < FIRST_ERROR_STATUS || !this.#isRepeatable;
    if (isFinal) return answer;
    this.#failure = answer;
    this.#note(target, `Answered ${answer.status}`);
    return undefined;
  }

  #onRan(verdict: Verdict): void {
    if (this.#verdict === Verdict.NotRun) {
      this.#parts.onRan(this.#options.admission.workspace?.name);
    }
    this.#verdict = verdict;
  }

  #note(target: string, detail: string): void {
    this.#detail = detail;
    if (this.#options.signal.aborted) return;
    this.#parts.metrics.count("calls.retried");
    this.#parts.logger.event("callRetried", {
      request: this.#options.call.id,
      target,
      reason: detail,
      leftMs: Math.round(this.#leftMs),
    });
  }

  #refusal(): RefusalError {
    const isLate = this.#leftMs <= MIN_ATTEMPT_MS;
    if (this.#verdict === Verdict.NotRun) {
      return new RefusalError(RefusalReason.NoTarget, Verdict.NotRun, {
        message: this.#detail || "No target takes the call",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    const reason = isLate
      ? RefusalReason.TargetTimeout
      : RefusalReason.TargetFailed;
    return new RefusalError(reason, this.#verdict, { message: this.#detail });
  }
}

function isFailure(outcome: AttemptOutcome): boolean {
  if (outcome.type === "failed") return true;
  return outcome.isMisdirected || outcome.answer.status >= FIRST_ERROR_STATUS;
}

/** Gets a number from 0 to 1 that belongs to a text. */
function unitOf(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}

type Settled<T> =
  | { readonly isSettled: true; readonly value: T }
  | { readonly isSettled: false };

async function settledWithin<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<Settled<T>> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<Settled<T>>((resolve) => {
    timer = setTimeout(() => resolve({ isSettled: false }), timeoutMs);
  });
  const settled = promise.then((value) =>
    ({ isSettled: true, value }) as const
  );
  try {
    return await Promise.race([settled, late]);
  } finally {
    clearTimeout(timer);
  }
}

/** Gets the first answer, or undefined where every attempt ends without one. */
function firstAnswer(
  attempts: readonly Promise<CallAnswer | undefined>[],
): Promise<CallAnswer | undefined> {
  return new Promise((resolve) => {
    let open = attempts.length;
    for (const attempt of attempts) {
      attempt.then((answer) => {
        open -= 1;
        if (answer !== undefined || open === 0) resolve(answer);
      });
    }
  });
}

/** Open-loop load: callers whose rate does not depend on responses. */
import { WorkKind } from "../src/core/dispatch/mod.ts";
import { POOL, type Simulation } from "./simulation.ts";

/** Options of {@link CallerModel}. */
export interface CallerModelOptions {
  readonly simulation: Simulation;
  readonly workspace: string;
  /** Gets the requests per second at a virtual time in milliseconds. */
  readonly rate: (now: number) => number;
  /** Draws the number of tokens that a request generates. */
  readonly drawTokens: () => number;
  /** Time within which a response is useful, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether requests may run more than once; true by default. */
  readonly idempotent?: boolean;
  /** Prompt tokens of a request; 0 by default. */
  readonly promptTokens?: number;
  /** Draws the prompt prefix of a request; none if absent. */
  readonly drawPrefix?: () => string;
  /** Virtual time from which requests are measured, in milliseconds. */
  readonly countFromMs?: number;
}

/** Measurements of the callers of a workspace. */
export interface CallerFigures {
  /** Requests sent, including those before the measured period. */
  readonly sent: number;
  /** Tokens of all requests sent in the measured period. */
  readonly requestedTokens: number;
  /** Tokens of in-time responses that arrived in the measured period. */
  readonly usefulTokens: number;
  /** Responses that met the deadline. */
  readonly inTime: number;
  /** Times from request to response, in milliseconds. */
  readonly latenciesMs: readonly number[];
  /** Times from request to refusal, in milliseconds. */
  readonly refusalLatenciesMs: readonly number[];
}

/** Tokens that the dispatcher expects of each request. */
const EXPECTED_TOKENS = 128;

/** Sends the requests of a workspace as a Poisson process. */
export class CallerModel {
  readonly #options: CallerModelOptions;
  #sent = 0;
  #requestedTokens = 0;
  #usefulTokens = 0;
  #inTime = 0;
  readonly #latenciesMs: number[] = [];
  readonly #refusalLatenciesMs: number[] = [];

  /** Creates the callers and schedules the first request. */
  constructor(options: CallerModelOptions) {
    this.#options = options;
    this.#scheduleNext();
  }

  get figures(): CallerFigures {
    return {
      sent: this.#sent,
      requestedTokens: this.#requestedTokens,
      usefulTokens: this.#usefulTokens,
      inTime: this.#inTime,
      latenciesMs: this.#latenciesMs,
      refusalLatenciesMs: this.#refusalLatenciesMs,
    };
  }

  #scheduleNext(): void {
    const { simulation, rate } = this.#options;
    const ratePerMs = Math.max(1e-6, rate(simulation.now) / 1_000);
    const gapMs = -Math.log(1 - simulation.scheduler.random()) / ratePerMs;
    simulation.scheduler.after(Math.min(gapMs, 10_000), () => {
      if (gapMs <= 10_000) this.#send();
      this.#scheduleNext();
    });
  }

  #send(): void {
    const { simulation, workspace, drawTokens, deadlineMs } = this.#options;
    const { countFromMs = 0, drawPrefix, promptTokens = 0 } = this.#options;
    const sentAt = simulation.now;
    const tokens = drawTokens();
    const isCounted = sentAt >= countFromMs;
    const id = `${workspace}-${sentAt}-${this.#sent}`;
    this.#sent += 1;
    if (isCounted) this.#requestedTokens += tokens;
    simulation.submit({
      item: {
        id,
        kind: WorkKind.Call,
        workspace,
        route: POOL,
        pool: POOL,
        cost: EXPECTED_TOKENS,
        tokens: EXPECTED_TOKENS,
        prefix: drawPrefix?.(),
        prefixTokens: promptTokens,
        fingerprint: id,
        idempotent: this.#options.idempotent ?? true,
        maxAttempts: 3,
        deadline: sentAt + deadlineMs,
      },
      tokens,
      onEnd: (outcome) => {
        const tookMs = simulation.now - sentAt;
        const isInTime = outcome.type === "completed" && tookMs <= deadlineMs;
        if (isInTime && simulation.now >= countFromMs) {
          this.#usefulTokens += tokens;
        }
        if (!isCounted) return;
        if (outcome.type === "refused") {
          this.#refusalLatenciesMs.push(tookMs);
          return;
        }
        this.#latenciesMs.push(tookMs);
        if (isInTime) this.#inTime += 1;
      },
    });
  }
}

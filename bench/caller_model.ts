/** Callers of one workspace, who come whether or not they are answered. */
import { WorkKind } from "../src/core/dispatch/mod.ts";
import { POOL, type World } from "./world.ts";

/** Options of {@link CallerModel}. */
export interface CallerModelOptions {
  /** World. */
  readonly world: World;
  /** Workspace. */
  readonly workspace: string;
  /** Gets the requests a second at a time. */
  readonly rate: (now: number) => number;
  /** Gets the tokens of a request. */
  readonly drawTokens: () => number;
  /** Time in which an answer is of use, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether requests may run more than once. */
  readonly idempotent?: boolean;
  /** Prompt tokens. */
  readonly promptTokens?: number;
  /** Gets the prefix of a request. */
  readonly drawPrefix?: () => string;
  /** Time from which requests are counted, in milliseconds. */
  readonly countFrom?: number;
}

/** What callers have measured. */
export interface CallerFigures {
  /** Requests sent. */
  readonly sent: number;
  /** Tokens asked for. */
  readonly askedTokens: number;
  /** Tokens of answers that came in time, by the time at which they came. */
  readonly usefulTokens: number;
  /** Answers that came in time. */
  readonly inTime: number;
  /** Times from request to answer, in milliseconds. */
  readonly latenciesMs: readonly number[];
  /** Times from request to refusal, in milliseconds. */
  readonly refusalsMs: readonly number[];
}

/** Tokens that the product expects of each request. */
const EXPECTED_TOKENS = 128;

/** Sends requests at random times. */
export class CallerModel {
  readonly #options: CallerModelOptions;
  #sent = 0;
  #askedTokens = 0;
  #usefulTokens = 0;
  #inTime = 0;
  readonly #latencies: number[] = [];
  readonly #refusals: number[] = [];

  /** Creates callers and sends the first request. */
  constructor(options: CallerModelOptions) {
    this.#options = options;
    this.#wait();
  }

  /** Gets what was measured. */
  get figures(): CallerFigures {
    return {
      sent: this.#sent,
      askedTokens: this.#askedTokens,
      usefulTokens: this.#usefulTokens,
      inTime: this.#inTime,
      latenciesMs: this.#latencies,
      refusalsMs: this.#refusals,
    };
  }

  #wait(): void {
    const { world, rate } = this.#options;
    const perMs = Math.max(1e-6, rate(world.now) / 1_000);
    const gapMs = -Math.log(1 - world.scheduler.random()) / perMs;
    world.scheduler.after(Math.min(gapMs, 10_000), () => {
      if (gapMs <= 10_000) this.#send();
      this.#wait();
    });
  }

  #send(): void {
    const { world, workspace, drawTokens, deadlineMs } = this.#options;
    const { countFrom = 0, drawPrefix, promptTokens = 0 } = this.#options;
    const sentAt = world.now;
    const tokens = drawTokens();
    const isCounted = sentAt >= countFrom;
    const id = `${workspace}-${sentAt}-${this.#sent}`;
    this.#sent += 1;
    if (isCounted) this.#askedTokens += tokens;
    world.submit({
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
      onEnd: (end) => {
        const tookMs = world.now - sentAt;
        const isInTime = end.type === "whole" && tookMs <= deadlineMs;
        if (isInTime && world.now >= countFrom) this.#usefulTokens += tokens;
        if (!isCounted) return;
        if (end.type === "refused") {
          this.#refusals.push(tookMs);
          return;
        }
        this.#latencies.push(tookMs);
        if (isInTime) this.#inTime += 1;
      },
    });
  }
}

/** Structured log of numbered events. */
import bunyan from "bunyan";
import { EVENT_CATALOGUE, type EventName } from "./event_catalogue.ts";
import type { EventLevel } from "./event_description.ts";
import { LogRateLimiter, type LogRateLimits } from "./log_rate_limiter.ts";

/** Fields of an event; must not hold keys, prompts or generated text. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined | readonly string[]>
>;

/** Options of {@link Logger}. */
export interface LoggerOptions {
  /** Identifier of the instance. */
  readonly instance: string;
  /** Minimum severity of the lines to write. */
  readonly level: EventLevel;
  /** Destination of the lines; standard output by default. */
  readonly stream?: NodeJS.WritableStream;
  /** Rate limits of the lines of each event; if absent, no line is dropped. */
  readonly budget?: LogRateLimits;
}

/** Size of the stream's buffer from which lines are dropped, in bytes. */
const MAX_BUFFERED_BYTES = 1_048_576;
const DROP_REPORT_INTERVAL_MS = 5_000;

/**
 * Writes numbered events as JSON lines.
 *
 * @example
 * ```ts
 * logger.event("targetLeaving", { target: "planner-1" });
 * ```
 */
export class Logger {
  readonly #bunyan: bunyan;
  readonly #stream: NodeJS.WritableStream;
  readonly #rateLimiter: LogRateLimiter | undefined;
  #dropsReportedAt = 0;

  constructor(options: LoggerOptions) {
    this.#stream = options.stream ?? process.stdout;
    if (options.budget !== undefined) {
      this.#rateLimiter = new LogRateLimiter(options.budget);
    }
    this.#bunyan = bunyan.createLogger({
      name: "nutmegreel",
      instance: options.instance,
      level: options.level,
      stream: this.#stream,
    });
  }

  /** Writes an event, unless it is dropped by the rate limits. */
  event(name: EventName, fields: EventFields = {}): this {
    const { number, level, text } = EVENT_CATALOGUE[name];
    if (!this.#shouldWrite(name)) return this;
    this.#bunyan[level]({ event: number, ...fields }, text);
    return this;
  }

  /** Writes an unexpected error as `internalError` with its stack. */
  error(err: unknown, fields: EventFields = {}): this {
    const error = err instanceof Error ? err : new Error(String(err));
    return this.event("internalError", {
      ...fields,
      error: error.name,
      message: error.message,
      stack: error.stack,
    });
  }

  /**
   * Gets whether a line is to be written. If the reader of the stream is too
   * slow, lines are dropped rather than buffered without bound.
   */
  #shouldWrite(name: EventName): boolean {
    const rateLimiter = this.#rateLimiter;
    if (rateLimiter === undefined) return true;
    const now = performance.now();
    const { writableLength = 0 } = this.#stream as { writableLength?: number };
    if (writableLength > MAX_BUFFERED_BYTES) {
      rateLimiter.countDropped(name);
      return false;
    }
    this.#reportDropped(rateLimiter, now);
    return rateLimiter.tryTake(name, now);
  }

  #reportDropped(rateLimiter: LogRateLimiter, now: number): void {
    if (now - this.#dropsReportedAt < DROP_REPORT_INTERVAL_MS) return;
    this.#dropsReportedAt = now;
    const dropped = rateLimiter.takeDropped();
    if (dropped.size === 0) return;
    const { number, level, text } = EVENT_CATALOGUE.linesDropped;
    const counts = Object.fromEntries(dropped);
    this.#bunyan[level]({ event: number, dropped: counts }, text);
  }
}

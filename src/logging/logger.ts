/** Structured logs of numbered events. */
import bunyan from "bunyan";
import {
  EVENT_CATALOGUE,
  type EventLevel,
  type EventName,
} from "./event_catalogue.ts";

import { LogBudget, type LogBudgetOptions } from "./log_budget.ts";

/** Fields of an event; never a key, a prompt or an answer. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined | readonly string[]>
>;

/** Options of {@link Logger}. */
export interface LoggerOptions {
  /** Identifier of the instance. */
  readonly instance: string;
  /** Lowest severity that is written. */
  readonly level: EventLevel;
  /** Where lines go; standard output where absent. */
  readonly stream?: NodeJS.WritableStream;
  /** Rate of lines of each event; unbounded where absent. */
  readonly budget?: LogBudgetOptions;
}

/** Bytes that wait for a slow reader before lines are left out. */
const MAX_WAITING_BYTES = 1_048_576;
const REPORT_INTERVAL_MS = 5_000;

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
  readonly #budget: LogBudget | undefined;
  #reportedAt = 0;

  /** Creates a logger. */
  constructor(options: LoggerOptions) {
    this.#stream = options.stream ?? process.stdout;
    if (options.budget !== undefined) {
      this.#budget = new LogBudget(options.budget);
    }
    this.#bunyan = bunyan.createLogger({
      name: "nutmegreel",
      instance: options.instance,
      level: options.level,
      stream: this.#stream,
    });
  }

  /** Writes an event. */
  event(name: EventName, fields: EventFields = {}): this {
    const { number, level, text } = EVENT_CATALOGUE[name];
    if (!this.#mayWrite(name)) return this;
    this.#bunyan[level]({ event: number, ...fields }, text);
    return this;
  }

  /** Writes an unexpected error. */
  error(err: unknown, fields: EventFields = {}): this {
    const error = err instanceof Error ? err : new Error(String(err));
    return this.event("internalError", {
      ...fields,
      error: error.name,
      message: error.message,
      stack: error.stack,
    });
  }

  /** A reader that stops reading costs lines, and never time. */
  #mayWrite(name: EventName): boolean {
    const budget = this.#budget;
    if (budget === undefined) return true;
    const now = performance.now();
    const { writableLength = 0 } = this.#stream as { writableLength?: number };
    if (writableLength > MAX_WAITING_BYTES) {
      budget.drop(name);
      return false;
    }
    this.#reportDropped(budget, now);
    return budget.take(name, now);
  }

  #reportDropped(budget: LogBudget, now: number): void {
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    const dropped = budget.takeDropped();
    if (dropped.size === 0) return;
    const { number, level, text } = EVENT_CATALOGUE.linesDropped;
    const counts = Object.fromEntries(dropped);
    this.#bunyan[level]({ event: number, dropped: counts }, text);
  }
}

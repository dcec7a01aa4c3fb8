/** Structured logs of numbered events. */
import bunyan from "bunyan";
import {
  EVENT_CATALOGUE,
  type EventLevel,
  type EventName,
} from "./event_catalogue.ts";

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
}

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

  /** Creates a logger. */
  constructor(options: LoggerOptions) {
    this.#bunyan = bunyan.createLogger({
      name: "nutmegreel",
      instance: options.instance,
      level: options.level,
      stream: options.stream ?? process.stdout,
    });
  }

  /** Writes an event. */
  event(name: EventName, fields: EventFields = {}): this {
    const { number, level, text } = EVENT_CATALOGUE[name];
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
}

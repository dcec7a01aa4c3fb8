/** The end of the process. */
import {
  type EventFields,
  type EventName,
  LastLineStream,
  Logger,
} from "../../logging/mod.ts";

const EXIT_DONE = 0;
const EXIT_FAILURE = 1;
/** Name in the lines of a process that has not read its settings. */
const UNNAMED = "unknown";
/** Time in which earlier lines of a planned end are written, in ms. */
const FLUSH_MS = 250;
const FLUSH_INTERVAL_MS = 5;
/** Characters of a message or a stack in a line. */
const MAX_TEXT_LENGTH = 1_500;

/** What an end on an error interrupts. */
export const FailureReason = {
  /** An error that no code caught. */
  UncaughtException: "uncaughtException",
  /** A rejected promise that no code awaited. */
  UnhandledRejection: "unhandledRejection",
  /** An error of the start, such as settings that are not valid. */
  StartFailed: "startFailed",
  /** An error of the stop that a signal asked for. */
  StopFailed: "stopFailed",
} as const;

/** What an end on an error interrupts. */
export type FailureReason = typeof FailureReason[keyof typeof FailureReason];

/**
 * Ends the process with one line in the log that tells the reason.
 *
 * @example
 * ```ts
 * const end = new ProcessEnd().catchErrors();
 * await end.stop("SIGTERM");
 * ```
 */
export class ProcessEnd {
  #instance = UNNAMED;
  #onLogged: () => void = () => {};

  /** Sets the name of the instance in the line. */
  setInstance(name: string): this {
    this.#instance = name;
    return this;
  }

  /** Sets what is called when the line has been written. */
  onLogged(listener: () => void): this {
    this.#onLogged = listener;
    return this;
  }

  /**
   * Ends the process on each error that no code catches: its state may be
   * inconsistent, so that it does not go on.
   */
  catchErrors(): this {
    process.on("uncaughtException", (err, origin) => this.fail(origin, err));
    return this;
  }

  /** Ends the process as planned, once earlier lines are written. */
  async stop(signal: string): Promise<never> {
    await flushStdout();
    return this.#end(EXIT_DONE, "processStopped", { reason: signal });
  }

  /** Ends the process on an error. */
  fail(reason: FailureReason, err: unknown): never {
    const error = err instanceof Error ? err : new Error(String(err));
    return this.#end(EXIT_FAILURE, "processFailed", {
      reason,
      error: error.name,
      code: (error as NodeJS.ErrnoException).code,
      message: error.message.slice(0, MAX_TEXT_LENGTH),
      stack: error.stack?.slice(0, MAX_TEXT_LENGTH),
    });
  }

  #end(exitCode: number, event: EventName, fields: EventFields): never {
    const isWithinLine = () => process.stdout.writableLength > 0;
    const logger = new Logger({
      instance: this.#instance,
      level: "debug",
      stream: new LastLineStream({ isWithinLine }),
    });
    const uptimeMs = Math.round(process.uptime() * 1_000);
    try {
      logger.event(event, { ...fields, exitCode, uptimeMs });
      this.#onLogged();
    } finally {
      process.exit(exitCode);
    }
  }
}

/** Waits until standard output has taken its lines, within a bound. */
async function flushStdout(): Promise<void> {
  const endsAt = performance.now() + FLUSH_MS;
  while (process.stdout.writableLength > 0 && performance.now() < endsAt) {
    await new Promise((resolve) => setTimeout(resolve, FLUSH_INTERVAL_MS));
  }
}

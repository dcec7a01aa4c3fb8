/** Error of a replica that was stopped while it started. */
import { NutmegreelError } from "../../core/errors/mod.ts";

/** Thrown if a replica of a log was stopped before its store was open. */
export class LogStoppedError extends NutmegreelError {
  /** @param log - Name of the log. */
  constructor(log: string) {
    super("logStopped", `Log ${log} was stopped before its store was open`);
  }
}

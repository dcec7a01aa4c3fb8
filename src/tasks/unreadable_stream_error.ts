/** The error of an event stream that is none. */
import { ResponseBound } from "./response_bound.ts";
import { ResponseTooLargeError } from "./response_limits.ts";

/** Thrown for an event stream with too many lines that have no meaning. */
export class UnreadableStreamError extends ResponseTooLargeError {
  /** @param limit - The bound, in lines. */
  constructor(limit: number) {
    super(ResponseBound.UnreadableLines, limit);
  }
}

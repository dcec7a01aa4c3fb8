/** The error of an event stream that is none. */
import { NutmegreelError } from "../core/errors/mod.ts";

/** Thrown for an event stream with too many lines that have no meaning. */
export class UnreadableStreamError extends NutmegreelError {
  constructor() {
    super("unreadableStream", "Too many lines of the stream have no meaning");
  }
}

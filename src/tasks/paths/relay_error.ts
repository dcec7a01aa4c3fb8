/** Error of a connection that another instance did not open. */
import { NutmegreelError } from "../../core/errors/mod.ts";
import type { RelayRefusal } from "./relay_message.ts";

/** Thrown if an instance does not relay to a target. */
export class RelayError extends NutmegreelError {
  /** Why it does not. */
  readonly reason: RelayRefusal;

  constructor(reason: RelayRefusal) {
    super("relayRefused", `The instance did not relay: ${reason}`);
    this.reason = reason;
  }
}

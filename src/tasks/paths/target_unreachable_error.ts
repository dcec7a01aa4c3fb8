/** Error of a connection that no path leads to. */
import { NutmegreelError } from "../../core/errors/mod.ts";

/** Code by which clients know that nothing was sent. */
const UNREACHABLE_CODE = "EHOSTUNREACH";

/** Thrown if neither this instance nor others reach a target. */
export class TargetUnreachableError extends NutmegreelError {
  constructor(address: string, options?: ErrorOptions) {
    super(
      UNREACHABLE_CODE,
      `Neither this instance nor others reach ${address}`,
      options,
    );
  }
}

/** Refusal of requests by an instance that ends. */
import {
  RefusalError,
  RefusalReason,
  type Verdict,
} from "../../core/verdict/mod.ts";

/** Time after which another instance serves the request. */
const RETRY_AFTER_MS = 250;

/** Creates the refusal of a request by an instance that ends. */
export function createShutdownRefusal(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ShuttingDown, verdict, {
    message: "This instance ends before the request would",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

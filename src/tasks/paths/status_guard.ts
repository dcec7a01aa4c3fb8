/** Interceptor by which a response with a status that is none fails. */
import type { Dispatcher } from "undici";
import { NutmegreelError } from "../../core/errors/mod.ts";
import { type HandlerArguments, ResponseHandler } from "./response_handler.ts";

const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Thrown for a response whose status HTTP does not have. */
export class InvalidStatusError extends NutmegreelError {
  constructor(status: number) {
    super("invalidStatus", `Status ${status} is not one of HTTP`);
  }
}

/**
 * Fails a response at its head if its status is not one of HTTP, so that what a
 * broken target sends is no answer anywhere.
 *
 * @example
 * ```ts
 * const guarded = client.compose(guardStatus);
 * ```
 */
export const guardStatus: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) =>
    dispatch(options, new StatusGuardedHandler(handler));

class StatusGuardedHandler extends ResponseHandler {
  override onResponseStart(...args: HandlerArguments<"onResponseStart">): void {
    const [controller, status] = args;
    if (status >= MIN_STATUS && status <= MAX_STATUS) {
      super.onResponseStart(...args);
    } else controller.abort(new InvalidStatusError(status));
  }
}

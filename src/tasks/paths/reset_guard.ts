/** Interceptor by which a reset connection breaks the response in progress. */
import type { Dispatcher } from "undici";
import { ConnectionResetError } from "./connection_reset.ts";
import { type HandlerArguments, ResponseHandler } from "./response_handler.ts";

/**
 * Creates an interceptor that fails a response whose connection was reset before
 * its end. The HTTP client takes the end of the data for the end of a response
 * without a length, also after an error of the connection.
 *
 * @example
 * ```ts
 * const guarded = client.compose(guardAgainstResets(() => isReset));
 * ```
 */
export function guardAgainstResets(
  isReset: () => boolean,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, new ResetGuardedHandler(handler, isReset));
}

class ResetGuardedHandler extends ResponseHandler {
  readonly #isReset: () => boolean;

  constructor(handler: Dispatcher.DispatchHandler, isReset: () => boolean) {
    super(handler);
    this.#isReset = isReset;
  }

  override onResponseEnd(...args: HandlerArguments<"onResponseEnd">): void {
    const [controller] = args;
    if (!this.#isReset()) return super.onResponseEnd(...args);
    this.onResponseError(
      controller,
      new ConnectionResetError("The connection was reset by the target"),
    );
  }
}

/** Interceptor by which a reset connection breaks the response in progress. */
import { DecoratorHandler, type Dispatcher } from "undici";
import { ConnectionResetError } from "./connection_reset.ts";

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

type ResponseEndListener = NonNullable<
  Dispatcher.DispatchHandler["onResponseEnd"]
>;
type ResponseErrorListener = NonNullable<
  Dispatcher.DispatchHandler["onResponseError"]
>;

/** The published types of the base class lack its methods. */
interface HandlerMethods {
  onResponseEnd(...args: Parameters<ResponseEndListener>): void;
  onResponseError(...args: Parameters<ResponseErrorListener>): void;
}

const HandlerBase = DecoratorHandler as unknown as new (
  handler: Dispatcher.DispatchHandler,
) => HandlerMethods;

class ResetGuardedHandler extends HandlerBase {
  readonly #isReset: () => boolean;

  constructor(handler: Dispatcher.DispatchHandler, isReset: () => boolean) {
    super(handler);
    this.#isReset = isReset;
  }

  override onResponseEnd(...args: Parameters<ResponseEndListener>): void {
    const [controller] = args;
    if (!this.#isReset()) return super.onResponseEnd(...args);
    this.onResponseError(
      controller,
      new ConnectionResetError("The connection was reset by the target"),
    );
  }
}

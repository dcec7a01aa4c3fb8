/** Interceptor by which a connection that ends breaks the response in progress. */
import { type Dispatcher, errors } from "undici";
import { ConnectionResetError } from "./connection_reset.ts";
import { type HandlerArguments, ResponseHandler } from "./response_handler.ts";

/** How a connection has ended. */
export interface ConnectionEnds {
  readonly isReset: () => boolean;
  /** Gets whether the target has closed it. */
  readonly isClosed: () => boolean;
  /** Gets whether a part of the request is not sent yet. */
  readonly hasUnsent: () => boolean;
}

/** Fields by which a response says where it ends. */
const FRAMING_FIELDS: ReadonlySet<string> = new Set([
  "content-length",
  "transfer-encoding",
]);

/**
 * Creates an interceptor that fails a response whose connection was reset before
 * its end. The HTTP client takes the end of the data for the end of a response
 * without a length, also after an error of the connection, and also if the error
 * reaches the request, which is still being sent, after that end. For a response
 * that the target cut short by closing, the client names no error of the
 * connection.
 *
 * @example
 * ```ts
 * const guarded = client.compose(guardAgainstResets({
 *   isReset: () => isReset,
 *   isClosed: () => isClosed,
 *   hasUnsent: () => socket.writableLength > 0,
 * }));
 * ```
 */
export function guardAgainstResets(
  ends: ConnectionEnds,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, new ResetGuardedHandler(handler, ends));
}

class ResetGuardedHandler extends ResponseHandler {
  readonly #ends: ConnectionEnds;
  /** Whether the response ends with its connection. */
  #endsWithConnection = false;

  constructor(handler: Dispatcher.DispatchHandler, ends: ConnectionEnds) {
    super(handler);
    this.#ends = ends;
  }

  override onResponseStart(...args: HandlerArguments<"onResponseStart">): void {
    const [, , headers] = args;
    this.#endsWithConnection = !Object.keys(headers)
      .some((name) => FRAMING_FIELDS.has(name.toLowerCase()));
    super.onResponseStart(...args);
  }

  override onResponseEnd(...args: HandlerArguments<"onResponseEnd">): void {
    const [controller] = args;
    if (!this.#isBroken) return super.onResponseEnd(...args);
    super.onResponseError(
      controller,
      new ConnectionResetError("The connection was reset by the target"),
    );
  }

  override onResponseError(...args: HandlerArguments<"onResponseError">): void {
    const [controller, err] = args;
    if (!isCutShort(err) || !this.#ends.isClosed()) {
      return super.onResponseError(...args);
    }
    super.onResponseError(
      controller,
      new ConnectionResetError("The connection was closed by the target"),
    );
  }

  get #isBroken(): boolean {
    const { isReset, isClosed, hasUnsent } = this.#ends;
    if (isReset()) return true;
    return this.#endsWithConnection && isClosed() && hasUnsent();
  }
}

/** Gets whether a response may have ended before it was whole. */
function isCutShort(err: Error): boolean {
  return err instanceof errors.HTTPParserError ||
    err instanceof errors.ResponseContentLengthMismatchError;
}

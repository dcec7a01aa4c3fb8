/** Reading of responses whose target closes its end of the connection. */
import type { Duplex } from "node:stream";
import type { Dispatcher } from "undici";
import { type HandlerArguments, ResponseHandler } from "./response_handler.ts";

/**
 * Reads on in a paused response once the target has closed its end: the HTTP
 * client cannot end a response that is paused, and throws.
 *
 * @example
 * ```ts
 * const resumer = new ReadResumer().watch(socket);
 * const resumed = client.compose(resumer.interceptor);
 * ```
 */
export class ReadResumer {
  #controller: Dispatcher.DispatchController | undefined;

  /** Records the request in progress of a client. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor =
    (dispatch) => (options, handler) =>
      dispatch(
        options,
        new ResumedHandler(handler, (controller) => {
          this.#controller = controller;
        }),
      );

  /** Follows a connection; called before the HTTP client does so. */
  watch(socket: Duplex): this {
    socket.prependListener("end", () => this.#controller?.resume());
    return this;
  }
}

class ResumedHandler extends ResponseHandler {
  readonly #onStart: (controller: Dispatcher.DispatchController) => void;

  constructor(
    handler: Dispatcher.DispatchHandler,
    onStart: (controller: Dispatcher.DispatchController) => void,
  ) {
    super(handler);
    this.#onStart = onStart;
  }

  override onRequestStart(...args: HandlerArguments<"onRequestStart">): void {
    this.#onStart(args[0]);
    super.onRequestStart(...args);
  }

  /** Leaves out empty parts, on which a slow receiver would pause again. */
  override onResponseData(...args: HandlerArguments<"onResponseData">): void {
    if (args[1].length > 0) super.onResponseData(...args);
  }
}

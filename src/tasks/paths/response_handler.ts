/** Base class of handlers that see a response before its receiver does. */
import type { Dispatcher } from "undici";

type Handler = Dispatcher.DispatchHandler;

/** Arguments of a method of a handler of the HTTP client. */
export type HandlerArguments<M extends keyof Handler> = Parameters<
  NonNullable<Handler[M]>
>;

/**
 * Passes on all calls. The base class of the HTTP client accepts one head for
 * each response, and so fails after an interim response (status 1xx).
 */
export class ResponseHandler implements Handler {
  readonly #handler: Handler;

  constructor(handler: Handler) {
    this.#handler = handler;
  }

  onRequestStart(...args: HandlerArguments<"onRequestStart">): void {
    this.#handler.onRequestStart?.(...args);
  }

  onRequestUpgrade(...args: HandlerArguments<"onRequestUpgrade">): void {
    this.#handler.onRequestUpgrade?.(...args);
  }

  onResponseStart(...args: HandlerArguments<"onResponseStart">): void {
    this.#handler.onResponseStart?.(...args);
  }

  onResponseData(...args: HandlerArguments<"onResponseData">): void {
    this.#handler.onResponseData?.(...args);
  }

  onResponseEnd(...args: HandlerArguments<"onResponseEnd">): void {
    this.#handler.onResponseEnd?.(...args);
  }

  onResponseError(...args: HandlerArguments<"onResponseError">): void {
    this.#handler.onResponseError?.(...args);
  }
}

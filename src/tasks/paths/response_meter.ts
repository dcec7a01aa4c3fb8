/** Bound of the bytes of a connection that belong to no body. */
import type { Duplex } from "node:stream";
import type { Dispatcher } from "undici";
import { ResponseBound } from "../response_bound.ts";
import { ResponseTooLargeError } from "../response_limits.ts";
import { type HandlerArguments, ResponseHandler } from "./response_handler.ts";

/** Connection whose bytes are counted. */
export type MeteredSocket = Duplex & { readonly bytesRead: number };

/**
 * Bytes of a request's response beside its body: heads and trailers of 16 KiB
 * each, for a question before it as well, and some thousand interim responses.
 */
const MAX_FRAMING_BYTES = 131_072;
/** Bytes of framing for each byte of a body, which may be a chunk of its own. */
const FRAMING_BYTES_PER_BYTE = 20;

/**
 * Compares what was read from a connection with what was handed on of it. The
 * HTTP client says nothing of bytes that it skips: of a status line, empty lines,
 * the size and extensions of chunks, and interim responses.
 *
 * @example
 * ```ts
 * const meter = new ResponseMeter((err) => socket.destroy(err)).watch(socket);
 * const metered = client.compose(meter.interceptor);
 * ```
 */
export class ResponseMeter {
  readonly #onExcess: (err: ResponseTooLargeError) => void;
  #socket: MeteredSocket | undefined;
  #startBytes = 0;
  #bodyBytes = 0;

  /** @param onExcess - Called if a connection exceeds the bound. */
  constructor(onExcess: (err: ResponseTooLargeError) => void) {
    this.#onExcess = onExcess;
  }

  /** Counts the bytes of the bodies that a client hands on. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor =
    (dispatch) => (options, handler) =>
      dispatch(
        options,
        new MeteredHandler(handler, (bytes) => {
          this.#bodyBytes += bytes;
        }),
      );

  /** Follows a connection that was opened; it replaces the last one. */
  watch(socket: MeteredSocket): this {
    this.#socket = socket;
    this.restart();
    socket.on("readable", () => {
      if (this.#socket === socket) this.#check();
    });
    return this;
  }

  /** Begins to count anew, for the next request or the time until it. */
  restart(): this {
    this.#startBytes = this.#readBytes;
    this.#bodyBytes = 0;
    return this;
  }

  /** Gets the number of bytes that the client has read. */
  get #readBytes(): number {
    if (this.#socket === undefined) return 0;
    return this.#socket.bytesRead - this.#socket.readableLength;
  }

  #check(): void {
    const framingBytes = this.#readBytes - this.#startBytes - this.#bodyBytes;
    const limit = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BYTE * this.#bodyBytes;
    if (framingBytes <= limit) return;
    this.#socket = undefined;
    this.#onExcess(new ResponseTooLargeError(ResponseBound.Framing, limit));
  }
}

class MeteredHandler extends ResponseHandler {
  readonly #onBytes: (bytes: number) => void;

  constructor(
    handler: Dispatcher.DispatchHandler,
    onBytes: (bytes: number) => void,
  ) {
    super(handler);
    this.#onBytes = onBytes;
  }

  override onResponseData(...args: HandlerArguments<"onResponseData">): void {
    this.#onBytes(args[1].length);
    super.onResponseData(...args);
  }
}

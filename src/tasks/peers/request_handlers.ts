/** Handlers of the requests from other instances. */
import { Verdict } from "../../core/verdict/mod.ts";
import { MalformedRequestError } from "./malformed_request_error.ts";
import type { PeerReply, PeerRequest } from "./peer_envelope.ts";
import type { RequestLink } from "./pending_requests.ts";
import { createUnansweredError, encodeRefusal } from "./peer_refusal.ts";

/** Handles a request from another instance. */
export type RequestHandler = (
  params: unknown,
  from: string,
) => unknown | Promise<unknown>;

/** Finds the handler of each request by its method. */
export class RequestHandlers {
  readonly #handlers = new Map<string, RequestHandler>();
  /** Number of requests that are being answered, by link. */
  readonly #answering = new Map<RequestLink, number>();
  readonly #onMalformed: (from: string, reason: string) => void;

  /** @param onMalformed - Called if a handler cannot decode a request. */
  constructor(onMalformed: (from: string, reason: string) => void) {
    this.#onMalformed = onMalformed;
  }

  /**
   * Sets the handler of a method, replacing the previous one.
   * @example
   * handlers.set("echo", (params) => params);
   */
  set(method: string, handler: RequestHandler): void {
    this.#handlers.set(method, handler);
  }

  /**
   * Runs the handler of a method.
   * @throws RefusalError with verdict `notRun` if the method has no handler.
   */
  async run(method: string, params: unknown, from: string): Promise<unknown> {
    const handler = this.#handlers.get(method);
    if (handler === undefined) throw createUnansweredError(Verdict.NotRun);
    return await handler(params, from);
  }

  /** Gets whether a request that came on a link waits for its reply. */
  isAnsweringOn(link: RequestLink): boolean {
    return this.#answering.has(link);
  }

  /**
   * Runs the handler of a request and sends its reply on the same link. A result
   * that cannot be sent is replied to with a refusal, so that the sender need not
   * wait.
   */
  async answer(
    request: PeerRequest,
    from: string,
    link: RequestLink,
  ): Promise<void> {
    const { id, method, params } = request;
    const send = (body: PeerReply) => link.send({ channel: "reply", body });
    this.#countAnswers(link, 1);
    try {
      const result = await this.run(method, params, from);
      send({ id, result });
    } catch (err) {
      if (err instanceof MalformedRequestError) {
        this.#onMalformed(from, `${method}: ${err.message}`);
      }
      send({ id, refusal: encodeRefusal(err) });
    } finally {
      this.#countAnswers(link, -1);
    }
  }

  #countAnswers(link: RequestLink, change: number): void {
    const count = (this.#answering.get(link) ?? 0) + change;
    if (count === 0) this.#answering.delete(link);
    else this.#answering.set(link, count);
  }
}

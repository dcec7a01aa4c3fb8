/** HTTP client for the receivers of the platform. */
import { type Agent, request } from "undici";
import type { OrderIntent, OrderOutcome } from "../../core/control/mod.ts";
import type { FencingToken } from "../../core/orders/mod.ts";

/** A message for a receiver. */
export interface ReceiverMessage {
  /** The order, or the order that carries a usage report. */
  readonly order: OrderIntent;
  /**
   * Fencing token, by which a receiver rejects messages of a former leader.
   */
  readonly fencing: FencingToken;
  /**
   * Whether the message may have been sent before. Its outcome is then looked
   * up before it is posted.
   */
  readonly isRepeated: boolean;
  /** Timeout of the look-up and the post together, in milliseconds. */
  readonly timeoutMs: number;
}

/** Options of {@link ReceiverClient}. */
export interface ReceiverClientOptions {
  readonly agent: Agent;
  /** URLs of receivers, by name. */
  readonly urls: Readonly<Record<string, string>>;
  /** Bearer token sent to receivers. */
  readonly credential?: string;
}

const STATUS_NOT_FOUND = 404;
const STATUS_BAD_REQUEST = 400;
const STATUS_SERVER_ERROR = 500;
const STATUS_TOO_MANY_REQUESTS = 429;

/**
 * Posts orders with their ID as idempotency key, and looks up their outcomes.
 */
export class ReceiverClient {
  readonly #options: ReceiverClientOptions;

  constructor(options: ReceiverClientOptions) {
    this.#options = options;
  }

  /** Gets whether a receiver is configured. */
  hasReceiver(name: string): boolean {
    return this.#options.urls[name] !== undefined;
  }

  /**
   * Sends a message; never rejects.
   * @returns Its outcome; undefined if it is unknown and the message must be
   * retried.
   */
  async send(message: ReceiverMessage): Promise<OrderOutcome | undefined> {
    const url = this.#options.urls[message.order.receiver];
    if (url === undefined) return undefined;
    const signal = AbortSignal.timeout(Math.max(1, message.timeoutMs));
    try {
      if (message.isRepeated) {
        const outcome = await this.#lookUp(url, message.order.id, signal);
        if (outcome !== undefined) return outcome;
      }
      return await this.#post(url, message, signal);
    } catch {
      return undefined;
    }
  }

  async #lookUp(
    url: string,
    id: string,
    signal: AbortSignal,
  ): Promise<OrderOutcome | undefined> {
    const res = await request(`${url}/${encodeURIComponent(id)}`, {
      dispatcher: this.#options.agent,
      headers: this.#createHeaders(),
      signal,
    });
    await res.body.dump();
    if (res.statusCode === STATUS_NOT_FOUND) return undefined;
    return toOutcome(res.statusCode);
  }

  async #post(
    url: string,
    message: ReceiverMessage,
    signal: AbortSignal,
  ): Promise<OrderOutcome | undefined> {
    const { order, fencing } = message;
    const res = await request(url, {
      method: "POST",
      dispatcher: this.#options.agent,
      idempotent: false,
      headers: {
        ...this.#createHeaders(),
        "content-type": "application/json",
        "idempotency-key": order.id,
        "x-fencing-term": String(fencing.term),
        "x-fencing-sequence": String(fencing.sequence),
      },
      body: JSON.stringify({ id: order.id, ...order.body }),
      signal,
    });
    await res.body.dump();
    return toOutcome(res.statusCode);
  }

  #createHeaders(): Record<string, string> {
    const { credential } = this.#options;
    return credential === undefined
      ? {}
      : { authorization: `Bearer ${credential}` };
  }
}

function toOutcome(status: number): OrderOutcome | undefined {
  if (status < STATUS_BAD_REQUEST) return "done";
  const isRetryable = status >= STATUS_SERVER_ERROR ||
    status === STATUS_TOO_MANY_REQUESTS;
  return isRetryable ? undefined : "refused";
}

/** Sends orders and reports to the platform. */
import { type Agent, request } from "undici";
import type { OrderIntent, OrderOutcome } from "../../core/control/mod.ts";
import type { FencingNumber } from "../../core/orders/mod.ts";

/** A message to a receiver of the platform. */
export interface ReceiverMessage {
  /** The order or report. */
  readonly order: OrderIntent;
  /** Fencing number. */
  readonly fencing: FencingNumber;
  /** Whether it was sent before, so that the outcome is asked for first. */
  readonly isRepeated: boolean;
  /** Time allowed, in milliseconds. */
  readonly timeoutMs: number;
}

/** Options of {@link ReceiverClient}. */
export interface ReceiverClientOptions {
  /** Connections. */
  readonly agent: Agent;
  /** Addresses of receivers, by name. */
  readonly urls: Readonly<Record<string, string>>;
  /** Credential presented to receivers. */
  readonly credential?: string;
}

const STATUS_NOT_FOUND = 404;
const STATUS_BAD_REQUEST = 400;
const STATUS_SERVER_ERROR = 500;
const STATUS_TOO_MANY_REQUESTS = 429;

/** Posts orders under their identifiers, and looks their outcomes up. */
export class ReceiverClient {
  readonly #options: ReceiverClientOptions;

  /** Creates a client. */
  constructor(options: ReceiverClientOptions) {
    this.#options = options;
  }

  /** Gets whether a receiver has an address. */
  hasReceiver(name: string): boolean {
    return this.#options.urls[name] !== undefined;
  }

  /**
   * Sends a message.
   * @returns Its outcome, or undefined where it is not known.
   */
  async send(message: ReceiverMessage): Promise<OrderOutcome | undefined> {
    const url = this.#options.urls[message.order.receiver];
    if (url === undefined) return undefined;
    const signal = AbortSignal.timeout(Math.max(1, message.timeoutMs));
    try {
      if (message.isRepeated) {
        const known = await this.#lookUp(url, message.order.id, signal);
        if (known !== undefined) return known;
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
      headers: this.#headers(),
      signal,
    });
    await res.body.dump();
    if (res.statusCode === STATUS_NOT_FOUND) return undefined;
    return outcomeOf(res.statusCode);
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
        ...this.#headers(),
        "content-type": "application/json",
        "idempotency-key": order.id,
        "x-fencing-term": String(fencing.term),
        "x-fencing-sequence": String(fencing.sequence),
      },
      body: JSON.stringify({ id: order.id, ...order.body }),
      signal,
    });
    await res.body.dump();
    return outcomeOf(res.statusCode);
  }

  #headers(): Record<string, string> {
    const { credential } = this.#options;
    return credential === undefined
      ? {}
      : { authorization: `Bearer ${credential}` };
  }
}

function outcomeOf(status: number): OrderOutcome | undefined {
  if (status < STATUS_BAD_REQUEST) return "done";
  const isLater = status >= STATUS_SERVER_ERROR ||
    status === STATUS_TOO_MANY_REQUESTS;
  return isLater ? undefined : "refused";
}

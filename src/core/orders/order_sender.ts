/** Decides when the leader may send which order. */
import type { OrderEntry, OrderIntent } from "../control/mod.ts";

/** Numbers by which a receiver tells old orders from new ones. */
export interface FencingNumber {
  /** Term of the leader. */
  readonly term: number;
  /** Position of the intent among all intents. */
  readonly sequence: number;
}

/** An order to be sent now. */
export interface OrderSend {
  /** The order. */
  readonly order: OrderIntent;
  /** Fencing number. */
  readonly fencing: FencingNumber;
  /** Attempt, from 1; the receiver is asked for the outcome from the second. */
  readonly attempt: number;
  /** Time allowed; the leader's lease outlasts it. */
  readonly timeoutMs: number;
}

/** Times of sending, in milliseconds of the local clock. */
export interface OrderTimes {
  /** Longest time for which a lease holds after the last contact. */
  readonly leaseMs: number;
  /** Longest time that a send may take. */
  readonly longestSendMs: number;
  /** Greatest difference in rate between two clocks, as a share. */
  readonly clockRateError: number;
}

/** Checks that a test may take out, to show that the soak misses them. */
export interface OrderGuards {
  /** A new leader waits out the lease and sends of its predecessor. */
  readonly waitsAfterTakeover: boolean;
  /** The lease is checked before each send. */
  readonly checksLease: boolean;
}

/** What the sender knows of the leader's standing. */
export interface Standing {
  /** Term that this process leads; undefined where it does not lead. */
  readonly term: number | undefined;
  /** End of the lease, by the local clock. */
  readonly leaseEnd: number;
}

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  /** Times. */
  readonly times: OrderTimes;
  /** Checks in place; all where absent. */
  readonly guards?: OrderGuards;
}

interface Flight {
  attempts: number;
  isSending: boolean;
  notBefore: number;
}

const FIRST_PAUSE_MS = 200;
const MAX_PAUSE_MS = 10_000;
/** Shortest time for which a send is worth its start. */
const MIN_SEND_MS = 20;

/**
 * Sends open orders while the lease holds, and never in two terms at once.
 *
 * @example
 * ```ts
 * for (const send of sender.due(state.openOrders, standing, now)) post(send);
 * ```
 */
export class OrderSender {
  readonly #times: OrderTimes;
  readonly #guards: OrderGuards;
  readonly #flights = new Map<string, Flight>();
  #term: number | undefined;
  #sendsFrom = Infinity;

  /** Creates a sender that does not lead. */
  constructor(options: OrderSenderOptions) {
    this.#times = options.times;
    this.#guards = options.guards ??
      { waitsAfterTakeover: true, checksLease: true };
  }

  /** Gets the time before which a new leader sends nothing. */
  get sendsFrom(): number {
    return this.#sendsFrom;
  }

  /** Gets the orders to send now. */
  due(
    open: readonly OrderEntry[],
    standing: Standing,
    now: number,
  ): OrderSend[] {
    this.#follow(standing, now);
    const { term } = standing;
    if (term === undefined || now < this.#sendsFrom) return [];
    const sends: OrderSend[] = [];
    for (const { order, sequence } of open) {
      const flight = this.#flightOf(order.id);
      if (flight.isSending || now < flight.notBefore) continue;
      const timeoutMs = this.timeoutFor(standing, now);
      if (timeoutMs < MIN_SEND_MS) break;
      flight.isSending = true;
      flight.attempts += 1;
      sends.push({
        order,
        fencing: { term, sequence },
        attempt: flight.attempts,
        timeoutMs,
      });
    }
    return sends;
  }

  /** Gets the time that a send may take now; 0 or less where none may. */
  timeoutFor(standing: Standing, now: number): number {
    const { longestSendMs, clockRateError } = this.#times;
    if (!this.#guards.checksLease) return longestSendMs;
    const leftMs = (standing.leaseEnd - now) / (1 + clockRateError);
    return Math.min(longestSendMs, leftMs);
  }

  /** Records that a send has ended without an outcome. */
  onFailed(orderId: string, now: number): this {
    const flight = this.#flightOf(orderId);
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(flight.attempts, 10);
    flight.isSending = false;
    flight.notBefore = now + Math.min(MAX_PAUSE_MS, pauseMs);
    return this;
  }

  /** Forgets an order whose outcome has been proposed. */
  onEnded(orderId: string): this {
    this.#flights.delete(orderId);
    return this;
  }

  #follow(standing: Standing, now: number): void {
    if (standing.term === this.#term) return;
    this.#term = standing.term;
    this.#flights.clear();
    const { leaseMs, longestSendMs, clockRateError } = this.#times;
    const waitMs = (leaseMs + longestSendMs) * (1 + clockRateError);
    const isWaiting = this.#guards.waitsAfterTakeover;
    this.#sendsFrom = isWaiting ? now + waitMs : now;
  }

  #flightOf(orderId: string): Flight {
    let flight = this.#flights.get(orderId);
    if (flight !== undefined) return flight;
    flight = { attempts: 0, isSending: false, notBefore: 0 };
    this.#flights.set(orderId, flight);
    return flight;
  }
}

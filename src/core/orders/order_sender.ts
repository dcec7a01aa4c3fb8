/** Decides when the control leader may send which orders. */
import type { OrderEntry, OrderIntent } from "../control/mod.ts";

/** Fencing token by which a recipient rejects outdated orders. */
export interface FencingToken {
  /** Term of the leader that sends the order. */
  readonly term: number;
  /** Sequence number of the order among all recorded orders. */
  readonly sequence: number;
}

/** An order to be sent now. */
export interface OrderSend {
  readonly order: OrderIntent;
  /** Fencing token. */
  readonly fencing: FencingToken;
  /**
   * Attempt number, from 1. From the second attempt on, the recipient is asked
   * for the outcome.
   */
  readonly attempt: number;
  /**
   * Timeout of the send, in milliseconds. It ends before the leader's lease
   * does.
   */
  readonly timeoutMs: number;
}

/** Timing of sends, in milliseconds of the local clock. */
export interface OrderTiming {
  /** Maximum duration of a leader lease after the last quorum contact. */
  readonly leaseMs: number;
  /** Maximum duration of a send. */
  readonly longestSendMs: number;
  /** Maximum difference in rate between two clocks, as a fraction. */
  readonly clockRateError: number;
}

/**
 * Safety checks. A test may disable one to show that the soak test detects its
 * absence.
 */
export interface OrderGuards {
  /**
   * A new leader waits until its predecessor's lease has expired and its sends
   * have ended.
   */
  readonly waitsAfterTakeover: boolean;
  /** The lease is checked before each send. */
  readonly checksLease: boolean;
}

/** Leadership status of this process. */
export interface LeadershipStatus {
  /** Term in which this process leads; undefined if it does not lead. */
  readonly term: number | undefined;
  /** End of the leader lease, by the local clock. */
  readonly leaseEnd: number;
}

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  /** Timing of sends. */
  readonly times: OrderTiming;
  /** Enabled safety checks. Defaults to all. */
  readonly guards?: OrderGuards;
}

interface SendState {
  attempts: number;
  isSending: boolean;
  notBefore: number;
}

/**
 * Base of the backoff after a failed send, doubled with each attempt; in
 * milliseconds.
 */
const BASE_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 10_000;
/** Minimum remaining time for which a send is started. */
const MIN_SEND_MS = 20;

/**
 * Sends open orders while the leader holds its lease, so that two leaders never
 * send at the same time.
 *
 * @example
 * ```ts
 * for (const send of sender.due(state.openOrders, status, now)) post(send);
 * ```
 */
export class OrderSender {
  readonly #timing: OrderTiming;
  readonly #guards: OrderGuards;
  readonly #sendStates = new Map<string, SendState>();
  #term: number | undefined;
  #sendsFrom = Infinity;

  /** Creates a sender for a process that does not lead yet. */
  constructor(options: OrderSenderOptions) {
    this.#timing = options.times;
    this.#guards = options.guards ??
      { waitsAfterTakeover: true, checksLease: true };
  }

  /** Gets the time before which a new leader sends no orders. */
  get sendsFrom(): number {
    return this.#sendsFrom;
  }

  /** Gets the orders to send now and marks them as being sent. */
  due(
    open: readonly OrderEntry[],
    status: LeadershipStatus,
    now: number,
  ): OrderSend[] {
    this.#updateTerm(status, now);
    const { term } = status;
    if (term === undefined || now < this.#sendsFrom) return [];
    const sends: OrderSend[] = [];
    for (const { order, sequence } of open) {
      const state = this.#sendStateOf(order.id);
      if (state.isSending || now < state.notBefore) continue;
      const timeoutMs = this.timeoutFor(status, now);
      if (timeoutMs < MIN_SEND_MS) break;
      state.isSending = true;
      state.attempts += 1;
      sends.push({
        order,
        fencing: { term, sequence },
        attempt: state.attempts,
        timeoutMs,
      });
    }
    return sends;
  }

  /**
   * Gets the timeout for a send that starts now, in milliseconds; 0 or less if
   * none may start.
   */
  timeoutFor(status: LeadershipStatus, now: number): number {
    const { longestSendMs, clockRateError } = this.#timing;
    if (!this.#guards.checksLease) return longestSendMs;
    const remainingMs = (status.leaseEnd - now) / (1 + clockRateError);
    return Math.min(longestSendMs, remainingMs);
  }

  /**
   * Records that a send ended without an outcome; the next attempt is backed
   * off.
   */
  onFailed(orderId: string, now: number): this {
    const state = this.#sendStateOf(orderId);
    const backoffMs = BASE_BACKOFF_MS * 2 ** Math.min(state.attempts, 10);
    state.isSending = false;
    state.notBefore = now + Math.min(MAX_BACKOFF_MS, backoffMs);
    return this;
  }

  /** Removes an order whose outcome has been proposed to the control log. */
  onEnded(orderId: string): this {
    this.#sendStates.delete(orderId);
    return this;
  }

  #updateTerm(status: LeadershipStatus, now: number): void {
    if (status.term === this.#term) return;
    this.#term = status.term;
    this.#sendStates.clear();
    const { leaseMs, longestSendMs, clockRateError } = this.#timing;
    const waitMs = (leaseMs + longestSendMs) * (1 + clockRateError);
    const isWaiting = this.#guards.waitsAfterTakeover;
    this.#sendsFrom = isWaiting ? now + waitMs : now;
  }

  #sendStateOf(orderId: string): SendState {
    let state = this.#sendStates.get(orderId);
    if (state !== undefined) return state;
    state = { attempts: 0, isSending: false, notBefore: 0 };
    this.#sendStates.set(orderId, state);
    return state;
  }
}

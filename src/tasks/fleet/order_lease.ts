/** Permission for the leader to send an order, with its fencing token. */
import type { FencingToken } from "./order_port.ts";

/** Options of {@link OrderLease}. */
export interface OrderLeaseOptions {
  readonly holder: string;
  readonly term: () => number | undefined;
  /**
   * Gets the time before which no other replica can be elected leader, on the
   * clock of {@link OrderLeaseOptions.now}.
   */
  readonly leaseEnd: () => number;
  /**
   * Gets monotonic time in milliseconds, which includes time in which the
   * machine was suspended.
   */
  readonly now: () => number;
  /** Gets the time at which this replica became leader. */
  readonly leaderSince: () => number;
}

/** Permission to send one order now. */
export interface OrderGrant {
  readonly token: FencingToken;
  /** Time within which the request must end, in milliseconds. */
  readonly timeoutMs: number;
}

const MAX_ORDER_MS = 600;
/** Remaining time of the lease below which no order is sent. */
const MIN_ORDER_MS = 150;
/** Delay before a new leader sends, so that its predecessor's orders end. */
const TAKEOVER_DELAY_MS = 900;

/**
 * Grants orders only to the leader, and only if they end before its lease
 * expires, so that the orders of successive leaders do not overlap.
 */
export class OrderLease {
  readonly #options: OrderLeaseOptions;

  constructor(options: OrderLeaseOptions) {
    this.#options = options;
  }

  /** Gets a grant; undefined if this replica must not send an order now. */
  get(): OrderGrant | undefined {
    const { holder, term, leaseEnd, now, leaderSince } = this.#options;
    const fence = term();
    const at = now();
    if (fence === undefined || at - leaderSince() < TAKEOVER_DELAY_MS) {
      return undefined;
    }
    const timeoutMs = Math.min(MAX_ORDER_MS, leaseEnd() - at);
    if (timeoutMs < MIN_ORDER_MS) return undefined;
    return { token: { holder, fence }, timeoutMs };
  }
}

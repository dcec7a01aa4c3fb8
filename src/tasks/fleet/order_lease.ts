/** Permission for the leader to send an order, with its fencing token. */
import type { OrderGrant } from "./order_port.ts";

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
  /**
   * Time after its last order for which a replica that leads again sends none,
   * in milliseconds; 0 where recipients reject outdated fencing tokens.
   *
   * Without that check, an order of the leader in between may arrive late, so
   * two holders must not take turns within this time.
   */
  readonly returnDelayMs: number;
  /** Whether an earlier process of this instance may have sent orders. */
  readonly hasPredecessor: boolean;
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
  /** Time of the last grant; orders of an earlier process count as granted. */
  #grantedAt: number;

  constructor(options: OrderLeaseOptions) {
    this.#options = options;
    this.#grantedAt = options.hasPredecessor ? options.now() : -Infinity;
  }

  /** Gets a grant; undefined if this replica must not send an order now. */
  get(): OrderGrant | undefined {
    const { holder, term, leaseEnd, now } = this.#options;
    const fence = term();
    const at = now();
    if (fence === undefined || !this.#hasTakenOver(at)) return undefined;
    const timeoutMs = Math.min(MAX_ORDER_MS, leaseEnd() - at);
    if (timeoutMs < MIN_ORDER_MS) return undefined;
    this.#grantedAt = at;
    const expiresAt = at + timeoutMs;
    return {
      token: { holder, fence },
      timeoutMs,
      isValid: () => now() < expiresAt && term() === fence,
    };
  }

  #hasTakenOver(at: number): boolean {
    const { leaderSince, returnDelayMs } = this.#options;
    const since = leaderSince();
    if (at - since < TAKEOVER_DELAY_MS) return false;
    const isHolder = this.#grantedAt >= since;
    return isHolder || at - this.#grantedAt >= returnDelayMs;
  }
}

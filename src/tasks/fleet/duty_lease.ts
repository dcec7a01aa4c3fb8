/** Whether this leader may send an order now, and with which token. */
import type { DutyToken } from "./order_port.ts";

/** What the lease relies on. */
export interface DutySources {
  readonly holder: string;
  readonly term: () => number | undefined;
  /** Gets until when the leader may act alone, by the lease clock. */
  readonly leaseEnd: () => number;
  /** Gets a clock that counts time in which the machine stood still. */
  readonly now: () => number;
  /** Gets the time at which this replica began to lead. */
  readonly leaderSince: () => number;
}

/** A send that is allowed now. */
export interface DutyGrant {
  readonly token: DutyToken;
  /** Time by which the send must have ended. */
  readonly timeoutMs: number;
}

const LONGEST_SEND_MS = 600;
const MIN_SEND_MS = 150;
/** Time for which a new leader waits out what its predecessor has sent. */
const TAKEOVER_MS = 900;

/** Grants sends that end before the lease does. */
export class DutyLease {
  readonly #sources: DutySources;

  /** Creates the lease of a replica. */
  constructor(sources: DutySources) {
    this.#sources = sources;
  }

  /** Gets a grant, or undefined where this replica may not act now. */
  get(): DutyGrant | undefined {
    const { holder, term, leaseEnd, now, leaderSince } = this.#sources;
    const fence = term();
    const at = now();
    if (fence === undefined || at - leaderSince() < TAKEOVER_MS) {
      return undefined;
    }
    const timeoutMs = Math.min(LONGEST_SEND_MS, leaseEnd() - at);
    if (timeoutMs < MIN_SEND_MS) return undefined;
    return { token: { holder, fence }, timeoutMs };
  }
}

/** Whole responses that their callers have not read yet. */
import type { ServerResponse } from "node:http";
import type { Metrics } from "../../metrics/mod.ts";
import { breakOff } from "../broken_response.ts";
import { drained } from "../drained.ts";
import { RECLAIMER } from "../memory/mod.ts";

/** A response on its way to its caller. */
interface UnreadResponse {
  readonly res: ServerResponse;
  readonly size: number;
  /** Time at which the caller last took something of it. */
  progressAt: number;
}

/** Part of a response after which its caller has made progress, in bytes. */
const PART_BYTES = 65_536;
/** Time without progress after which a caller gives its place to others. */
const STALL_MS = 1_000;

/**
 * Sends whole responses, and counts them until their callers have read them.
 *
 * @example
 * ```ts
 * await unread.send(res, body);
 * ```
 */
export class UnreadResponses {
  readonly #responses = new Set<UnreadResponse>();
  readonly #metrics: Pick<Metrics, "count">;
  readonly #now: () => number;
  #heldBytes = 0;

  /** @param now - Gets the monotonic time, in milliseconds. */
  constructor(
    metrics: Pick<Metrics, "count">,
    now: () => number = () => performance.now(),
  ) {
    this.#metrics = metrics;
    this.#now = now;
  }

  /** Gets the bytes of all responses. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Sends the body of a response whose head is written, and ends it. */
  async send(res: ServerResponse, body: Uint8Array): Promise<void> {
    if (body.length <= PART_BYTES) {
      res.end(body);
      return;
    }
    const response = { res, size: body.length, progressAt: this.#now() };
    this.#responses.add(response);
    this.#heldBytes += response.size;
    res.once("close", () => this.#remove(response));
    for (let at = 0; at < body.length && !res.destroyed; at += PART_BYTES) {
      const isTaken = res.write(body.subarray(at, at + PART_BYTES));
      if (!isTaken) await drained(res);
      response.progressAt = this.#now();
    }
    res.end();
  }

  /**
   * Breaks off the response whose caller has read nothing for the longest time.
   * @returns Whether there was one that had stalled.
   */
  breakOffStalled(): boolean {
    let slowest: UnreadResponse | undefined;
    for (const response of this.#responses) {
      if (response.progressAt < (slowest?.progressAt ?? Infinity)) {
        slowest = response;
      }
    }
    if (slowest === undefined) return false;
    if (this.#now() - slowest.progressAt < STALL_MS) return false;
    this.#remove(slowest);
    this.#metrics.count("responses.brokenOff");
    breakOff(slowest.res);
    return true;
  }

  #remove(response: UnreadResponse): void {
    if (!this.#responses.delete(response)) return;
    this.#heldBytes -= response.size;
    setImmediate(() => RECLAIMER.addLongLived(response.size));
  }
}

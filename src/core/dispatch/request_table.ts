/** The requests that wait, are delayed or run, by item, delay and deadline. */
import TinyQueue from "tinyqueue";
import type { ActiveRequest } from "./active_request.ts";

/**
 * Owns the requests of a dispatcher until they end.
 *
 * @example
 * ```ts
 * table.add(request);
 * for (const overdue of table.takeOverdue(now)) refuse(overdue);
 * ```
 */
export class RequestTable {
  readonly #requests = new Map<string, ActiveRequest>();
  readonly #delayed = new Set<ActiveRequest>();
  readonly #deadlines = new TinyQueue<ActiveRequest>(
    [],
    (a, b) => a.item.deadline - b.item.deadline,
  );

  /** Gets the number of requests that are queued, delayed or running. */
  get size(): number {
    return this.#requests.size;
  }

  /** Gets the request of an item; undefined if it has ended. */
  get(itemId: string): ActiveRequest | undefined {
    return this.#requests.get(itemId);
  }

  /** Adds a request. */
  add(request: ActiveRequest): void {
    this.#requests.set(request.item.id, request);
    if (request.item.deadline !== Infinity) this.#deadlines.push(request);
  }

  /** Removes a request that has ended. */
  remove(request: ActiveRequest): void {
    this.#requests.delete(request.item.id);
    this.#delayed.delete(request);
  }

  /** Delays the retry of a request until its {@link ActiveRequest.notBefore}. */
  delay(request: ActiveRequest): void {
    this.#delayed.add(request);
  }

  /** Takes the requests whose delay is over. */
  *takeDue(now: number): IterableIterator<ActiveRequest> {
    for (const request of [...this.#delayed]) {
      if (request.notBefore > now) continue;
      this.#delayed.delete(request);
      yield request;
    }
  }

  /** Takes the requests whose deadline passed while they were not running. */
  *takeOverdue(now: number): IterableIterator<ActiveRequest> {
    while ((this.#deadlines.peek()?.item.deadline ?? Infinity) <= now) {
      const request = this.#deadlines.pop();
      if (request === undefined) return;
      const isWaiting = this.#requests.get(request.item.id) === request &&
        request.targetId === undefined;
      if (isWaiting) yield request;
    }
  }

  /** Gets the requests with a fingerprint that are not running. */
  waitingWith(fingerprint: string): ActiveRequest[] {
    return [...this.#requests.values()].filter((request) =>
      request.targetId === undefined && request.item.fingerprint === fingerprint
    );
  }
}

/** The body of a request, in a pool. */
import type { PooledBody } from "./body_pool.ts";
import { ReceivedBody } from "./received_body.ts";

/** Holds the body of one request until its response has ended. */
export class RequestBody implements PooledBody {
  refuse: (() => void) | undefined;
  readonly #declaredSize: number;
  readonly #received: ReceivedBody;

  /** @param declaredSize - Size that the request names, in bytes; 0 without. */
  constructor(declaredSize: number) {
    this.#declaredSize = declaredSize;
    this.#received = new ReceivedBody(declaredSize);
  }

  /** Gets the bytes that have arrived. */
  get size(): number {
    return this.#received.size;
  }

  /** Gets the bytes that have arrived or are to arrive. */
  get expectedSize(): number {
    return Math.max(this.size, this.#declaredSize);
  }

  /** Adds a part. */
  add(part: Buffer): this {
    this.#received.add(part);
    return this;
  }

  /** Gets all bytes once they have arrived. */
  take(): Buffer {
    return this.#received.take();
  }

  /** Frees the bytes of a request that was refused. */
  end(): void {
    this.refuse = undefined;
    this.#received.take();
  }
}

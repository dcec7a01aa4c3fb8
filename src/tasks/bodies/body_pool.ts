/** Memory for the bodies of many requests. */

/** A body in a pool. */
export interface PooledBody {
  /** Bytes that are held. */
  readonly size: number;
  /** Bytes that it has in the end, as far as known. */
  readonly expectedSize: number;
  /** Frees the bytes and refuses the request; absent once it is complete. */
  readonly refuse: (() => void) | undefined;
}

/**
 * Bounds what bodies hold together. At the bound the largest of those that still
 * arrive is refused, and the newest of equals, so that a sender of large ones
 * does not take the place of small ones.
 */
export class BodyPool {
  readonly maxBytes: number;
  readonly #bodies = new Set<PooledBody>();
  #heldBytes = 0;

  /** @param maxBytes - Bound of all bodies together, in bytes. */
  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Gets the bytes held by all bodies. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Adds a body with what it holds, or with bytes that have arrived for it. */
  add(body: PooledBody, bytes: number): this {
    this.#bodies.add(body);
    this.#heldBytes += bytes;
    while (this.#heldBytes > this.maxBytes) {
      const largest = this.#findLargest();
      if (largest?.refuse === undefined) break;
      largest.refuse();
    }
    return this;
  }

  /** Removes a body. */
  remove(body: PooledBody): this {
    if (this.#bodies.delete(body)) this.#heldBytes -= body.size;
    return this;
  }

  #findLargest(): PooledBody | undefined {
    let largest: PooledBody | undefined;
    for (const body of this.#bodies) {
      if (body.refuse === undefined) continue;
      if (body.expectedSize >= (largest?.expectedSize ?? 0)) largest = body;
    }
    return largest;
  }
}

/** Memory for the bodies of many requests. */

/** A body in a pool. */
export interface PooledBody {
  /** Bytes that have arrived. */
  readonly size: number;
  /** Bytes of memory that it takes; as many as have arrived by default. */
  readonly takenSize?: number;
  /** Bytes that it has in the end, as far as known. */
  readonly expectedSize: number;
  /** Time at which its last bytes came, by the clock of the pool. */
  readonly progressAt?: number;
  /** Frees the bytes and refuses the request; absent once it is complete. */
  readonly refuse: (() => void) | undefined;
}

/** Time without a byte after which a body gives its place to another one. */
const STALL_MS = 1_000;

/**
 * Bounds what bodies take together. At the bound, the one refused is of those
 * that still arrive: the one that has stalled for the longest time, or else the
 * largest, and the newest of equals, so that a sender of large ones does not take
 * the place of small ones.
 */
export class BodyPool {
  readonly maxBytes: number;
  readonly #now: () => number;
  /** What each body takes. */
  readonly #takenBytes = new Map<PooledBody, number>();
  #totalBytes = 0;

  /**
   * @param maxBytes - Bound of all bodies together, in bytes.
   * @param now - Gets the monotonic time, in milliseconds.
   */
  constructor(maxBytes: number, now: () => number = () => performance.now()) {
    this.maxBytes = maxBytes;
    this.#now = now;
  }

  /** Gets the bytes that all bodies take. */
  get heldBytes(): number {
    return this.#totalBytes;
  }

  /** Gets the current time, by which stalled bodies are found. */
  get now(): number {
    return this.#now();
  }

  /** Adds a body, or counts again what it takes. */
  update(body: PooledBody): this {
    const bytes = body.takenSize ?? body.size;
    this.#totalBytes += bytes - (this.#takenBytes.get(body) ?? 0);
    this.#takenBytes.set(body, bytes);
    while (this.#totalBytes > this.maxBytes) {
      const victim = this.#findVictim();
      if (victim?.refuse === undefined) break;
      victim.refuse();
    }
    return this;
  }

  /**
   * Removes a body.
   * @returns Whether it was in the pool.
   */
  remove(body: PooledBody): boolean {
    this.#totalBytes -= this.#takenBytes.get(body) ?? 0;
    return this.#takenBytes.delete(body);
  }

  #findVictim(): PooledBody | undefined {
    const now = this.#now();
    let victim: PooledBody | undefined;
    let victimStallMs = 0;
    for (const body of this.#takenBytes.keys()) {
      if (body.refuse === undefined) continue;
      const stallMs = getStallMs(body, now);
      const isWorse = stallMs === victimStallMs
        ? body.expectedSize >= (victim?.expectedSize ?? 0)
        : stallMs > victimStallMs;
      if (!isWorse) continue;
      victim = body;
      victimStallMs = stallMs;
    }
    return victim;
  }
}

/** Gets the time without a byte, if that is too long; 0 if not. */
function getStallMs({ progressAt }: PooledBody, now: number): number {
  if (progressAt === undefined) return 0;
  const idleMs = now - progressAt;
  return idleMs < STALL_MS ? 0 : idleMs;
}

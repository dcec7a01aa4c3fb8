/** Reads the bodies of requests within one bound for all of them. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { planMemory } from "../../core/memory/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { RECLAIMER } from "../memory/mod.ts";
import { BodyPool } from "./body_pool.ts";
import { RequestBody } from "./request_body.ts";

/** Options of {@link RequestBodies}. */
export interface RequestBodiesOptions {
  readonly metrics: Pick<Metrics, "count" | "gauge">;
  /** Bound of all small bodies together, in bytes. */
  readonly maxSmallBytes?: number;
  /** Bound of all large bodies together, in bytes. */
  readonly maxLargeBytes?: number;
}

/** The functions of a promise. */
interface BodyResult {
  readonly resolve: (bytes: Buffer) => void;
  readonly reject: (refusal: RefusalError) => void;
}

/** A body that is being read. */
interface Reading {
  readonly req: IncomingMessage;
  readonly body: RequestBody;
  /** Largest size accepted, in bytes. */
  readonly maxBytes: number;
  /** Settles the promise of the body, which holds it as long as it is here. */
  result: BodyResult | undefined;
  pool: BodyPool;
}

/** Size up to which a body is tiny, as those of ordinary calls are, in bytes. */
const TINY_BODY_BYTES = 4_096;
/** Size up to which a body is small, in bytes. */
export const SMALL_BODY_BYTES = 262_144;
/** Memory of tiny bodies for that of small ones, which comes on top of it. */
const TINY_SHARE = 0.25;
/** Size from which on the memory of a body is worth a collection, in bytes. */
const MIN_RECLAIMED_BYTES = 16_384;
/** Time in which a request of the usual size has ended. */
const RETRY_AFTER_MS = 1_000;

/**
 * Reads bodies, and counts each until its response has ended. Tiny and small ones
 * have memory that larger ones cannot take; a large one that says its size has memory
 * for all of it before it is read, or is refused.
 *
 * @example
 * ```ts
 * const bodies = new RequestBodies({ metrics });
 * const body = await bodies.read(req, res, 1_048_576);
 * ```
 */
export class RequestBodies {
  readonly #metrics: RequestBodiesOptions["metrics"];
  readonly #tiny: BodyPool;
  readonly #small: BodyPool;
  readonly #large: BodyPool;
  #heldBytes = 0;

  constructor(options: RequestBodiesOptions) {
    this.#metrics = options.metrics;
    const plan = planMemory();
    const maxSmallBytes = options.maxSmallBytes ?? plan.smallBodyBytes;
    this.#tiny = new BodyPool(TINY_SHARE * maxSmallBytes);
    this.#small = new BodyPool(maxSmallBytes);
    this.#large = new BodyPool(options.maxLargeBytes ?? plan.largeBodyBytes);
  }

  /** Gets the bytes of all bodies that have arrived and are held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Gets the memory that all bodies take, in bytes. */
  get takenBytes(): number {
    return this.#tiny.heldBytes + this.#small.heldBytes +
      this.#large.heldBytes;
  }

  /**
   * Reads the body of a request.
   * @param maxBytes - Largest size accepted, in bytes.
   * @throws RefusalError with verdict `notRun` if the body is too large, if the
   * connection breaks, or if there is no memory for it.
   */
  read(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
  ): Promise<Buffer> {
    const limit = Math.min(maxBytes, this.#large.maxBytes);
    const declared = Number(req.headers["content-length"] ?? 0);
    if (declared > limit) return Promise.reject(createTooLarge());
    return new Promise((resolve, reject) => {
      const isLarge = declared > SMALL_BODY_BYTES;
      const pool = this.#getPool(isLarge ? declared : 0);
      const body = new RequestBody({
        declaredSize: declared,
        maxSize: limit,
        isReserved: isLarge,
        onDropped: reclaim,
        now: () => pool.now,
      });
      const result = { resolve, reject };
      const reading: Reading = { req, body, maxBytes: limit, result, pool };
      body.refuse = () => {
        this.#metrics.count("bodies.refused");
        this.#fail(reading, createNoRoom());
      };
      if (isLarge) pool.update(body);
      if (body.refuse === undefined) return;
      this.#collect(reading, res);
    });
  }

  #collect(reading: Reading, res: ServerResponse): void {
    const { req, body } = reading;
    const onBroken = (cause?: unknown) => {
      if (body.refuse !== undefined) {
        this.#fail(reading, createTruncated(cause));
      }
    };
    req.on("data", (part: Buffer) => {
      if (body.refuse !== undefined) this.#add(reading, part);
    });
    req.once("end", () => {
      if (body.refuse === undefined) return;
      body.refuse = undefined;
      this.#record();
      reading.result?.resolve(body.take());
      reading.result = undefined;
    });
    req.once("error", onBroken);
    req.once("close", () => onBroken());
    res.once("close", () => {
      const { size } = body;
      this.#release(reading);
      // The handler of the request has let go of the body by then.
      setImmediate(() => reclaim(size));
    });
    if (isAwaitingContinue(req)) res.writeContinue();
  }

  #add(reading: Reading, part: Buffer): void {
    const { body, maxBytes } = reading;
    if (body.size + part.length > maxBytes) {
      this.#fail(reading, createTooLarge());
      return;
    }
    RECLAIMER.addShortLived(part.length);
    this.#heldBytes += part.length;
    body.add(part);
    if (body.isFragmented) {
      this.#fail(reading, createTooLarge());
      return;
    }
    this.#move(reading);
    reading.pool.update(body);
  }

  /** Moves a body that has outgrown its pool. */
  #move(reading: Reading): void {
    const { body, pool } = reading;
    const next = this.#getPool(Math.max(body.size, body.takenSize));
    if (next === pool) return;
    pool.remove(body);
    reading.pool = next;
  }

  #getPool(size: number): BodyPool {
    if (size <= TINY_BODY_BYTES) return this.#tiny;
    return size <= SMALL_BODY_BYTES ? this.#small : this.#large;
  }

  #fail(reading: Reading, refusal: RefusalError): void {
    const { body, result } = reading;
    const { takenSize } = body;
    this.#release(reading);
    body.end();
    reclaim(takenSize);
    reading.result = undefined;
    result?.reject(refusal);
  }

  #release({ pool, body }: Reading): void {
    if (!pool.remove(body)) return;
    this.#heldBytes -= body.size;
    this.#record();
  }

  #record(): void {
    this.#metrics.gauge("bodies.heldBytes", this.heldBytes);
  }
}

function reclaim(bytes: number): void {
  if (bytes >= MIN_RECLAIMED_BYTES) RECLAIMER.addLongLived(bytes);
}

/** Gets whether the sender sends its body only once it is asked for it. */
function isAwaitingContinue({ headers }: IncomingMessage): boolean {
  return headers.expect?.toLowerCase() === "100-continue";
}

function createTooLarge(): RefusalError {
  return new RefusalError(RefusalReason.BodyTooLarge, Verdict.NotRun);
}

function createTruncated(cause: unknown): RefusalError {
  return new RefusalError(RefusalReason.BodyTruncated, Verdict.NotRun, {
    cause,
  });
}

function createNoRoom(): RefusalError {
  return new RefusalError(RefusalReason.QueueFull, Verdict.NotRun, {
    message: "The bodies of other requests take the memory for this one",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

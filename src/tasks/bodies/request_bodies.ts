/** Reads the bodies of requests within one bound for all of them. */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
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

/** Size up to which a body is small, in bytes. */
const SMALL_BODY_BYTES = 262_144;
/** With the large ones a fifth of the memory of an entry instance. */
const MAX_SMALL_BYTES = 16_777_216;
/** The largest body of the default limits, and half as much for others. */
const MAX_LARGE_BYTES = 50_331_648;
/** Time in which a request of the usual size has ended. */
const RETRY_AFTER_MS = 1_000;

/**
 * Reads bodies, and counts each until its response has ended. Small ones have
 * memory that large ones cannot take.
 *
 * @example
 * ```ts
 * const bodies = new RequestBodies({ metrics });
 * const body = await bodies.read(req, res, 1_048_576);
 * ```
 */
export class RequestBodies {
  readonly #metrics: RequestBodiesOptions["metrics"];
  readonly #small: BodyPool;
  readonly #large: BodyPool;

  constructor(options: RequestBodiesOptions) {
    this.#metrics = options.metrics;
    this.#small = new BodyPool(options.maxSmallBytes ?? MAX_SMALL_BYTES);
    this.#large = new BodyPool(options.maxLargeBytes ?? MAX_LARGE_BYTES);
  }

  /** Gets the bytes held by all bodies. */
  get heldBytes(): number {
    return this.#small.heldBytes + this.#large.heldBytes;
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
      const body = new RequestBody(declared);
      let pool = this.#small;
      const release = () => {
        pool.remove(body);
        this.#record();
      };
      const fail = (refusal: RefusalError) => {
        release();
        body.end();
        req.off("data", onData);
        req.pause();
        reject(refusal);
      };
      const onData = (part: Buffer) => {
        if (body.size + part.length > limit) return fail(createTooLarge());
        const isMoved = pool === this.#small &&
          body.size + part.length > SMALL_BODY_BYTES;
        if (isMoved) {
          pool.remove(body);
          pool = this.#large;
        }
        body.add(part);
        pool.add(body, isMoved ? body.size : part.length);
      };
      body.refuse = () => {
        this.#metrics.count("bodies.refused");
        fail(createNoRoom());
      };
      req.on("data", onData);
      req.once("end", () => {
        if (body.refuse === undefined) return;
        body.refuse = undefined;
        this.#record();
        resolve(body.take());
      });
      const onBroken = (cause?: unknown) => {
        if (body.refuse !== undefined) fail(createTruncated(cause));
      };
      req.once("error", onBroken);
      req.once("close", () => onBroken());
      res.once("close", release);
    });
  }

  #record(): void {
    this.#metrics.gauge("bodies.heldBytes", this.heldBytes);
  }
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

/** A single HTTP request to a target, and its response. */
import type { Dispatcher } from "undici";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import {
  ConnectionsExhaustedError,
  type TargetConnection,
  TargetConnections,
  TargetPaths,
} from "../paths/mod.ts";
import { parseTargetUrl } from "./target_url.ts";

/** A request of an attempt at a target. */
export interface ExchangeRequest {
  readonly url: string;
  readonly method: string;
  /** Headers; must not contain the caller's key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  /** Identifier that the target echoes in its response. */
  readonly requestId: string;
  /** Timeout of the complete exchange, in milliseconds. */
  readonly timeoutMs: number;
  /** Timeout of the first token, in milliseconds; undefined for none. */
  readonly firstTokenTimeoutMs?: number;
  /** Aborts the exchange. */
  readonly signal: AbortSignal;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Headers, with lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
}

/** Receives a response while it is read. */
export interface ResponseSink {
  /** Called with the head of the response. */
  onHead(head: ResponseHead): void;
  /**
   * Called with a chunk of the body.
   * @returns Whether the first token has been received.
   */
  onData(chunk: Buffer): boolean | Promise<boolean>;
  /** Gets whether the response is complete; called at its end. */
  isComplete(): boolean;
}

/** Result of an exchange. */
export type ExchangeResult =
  | { readonly type: "whole"; readonly head: ResponseHead }
  | {
    readonly type: "failed";
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
    /** Whether the connection broke, which may mean that the target crashed. */
    readonly isBroken: boolean;
    /** HTTP status, if the target sent one. */
    readonly status?: number;
    readonly retryAfterMs?: number;
  }
  | { readonly type: "aborted" };

/** Header with the request identifier, which targets echo. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header by which a target states that it did not run a request. */
export const TARGET_VERDICT_HEADER = "x-nutmegreel-verdict";

/** Time in which a connection to a target must be established. */
export const CONNECT_TIMEOUT_MS = 2_000;
const IDLE_TIMEOUT_MS = 10_000;
/** Bound of the connections of an instance to one target. */
export const MAX_CONNECTIONS_PER_TARGET = 512;
const MS_PER_SECOND = 1_000;
const STATUS_TOO_MANY_REQUESTS = 429;
const MIN_SERVER_ERROR_STATUS = 500;

/** Error codes that are raised before any byte of the request is written. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const TIMEOUT_ERROR_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
]);

/** Creates a connection pool for targets. */
export function createTargetConnections(
  paths = new TargetPaths({ connectTimeoutMs: CONNECT_TIMEOUT_MS }),
): TargetConnections {
  return new TargetConnections({ paths, idleTimeoutMs: IDLE_TIMEOUT_MS });
}

/** Sends a request and reports its result. */
export class Exchange {
  readonly #request: ExchangeRequest;
  readonly #sink: ResponseSink;
  readonly #abort = new AbortController();
  #timeoutReason: RefusalReason | undefined;
  #firstTokenTimer: NodeJS.Timeout | undefined;

  constructor(request: ExchangeRequest, sink: ResponseSink) {
    this.#request = request;
    this.#sink = sink;
  }

  /**
   * Sends the request and feeds the sink until the response ends.
   * @param connections - Connections to targets.
   */
  async run(connections: TargetConnections): Promise<ExchangeResult> {
    const { signal, timeoutMs, firstTokenTimeoutMs } = this.#request;
    if (signal.aborted) return { type: "aborted" };
    const onAbort = () => this.#abort.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    const timer = setTimeout(() => this.#onTimeout(), timeoutMs);
    if (firstTokenTimeoutMs !== undefined) {
      this.#firstTokenTimer = setTimeout(
        () => this.#onTimeout(),
        firstTokenTimeoutMs,
      );
    }
    try {
      return await this.#exchangeOn(connections);
    } catch (err) {
      return this.#toFailedResult(err);
    } finally {
      clearTimeout(timer);
      clearTimeout(this.#firstTokenTimer);
      signal.removeEventListener("abort", onAbort);
    }
  }

  #exchangeOn(connections: TargetConnections): Promise<ExchangeResult> {
    const { address, isSecure, path } = parseTargetUrl(this.#request.url);
    const options = {
      maxConnections: MAX_CONNECTIONS_PER_TARGET,
      isSecure,
      needsLive: true,
      signal: this.#abort.signal,
    };
    return connections.use(address, options, async (connection) => {
      const result = await this.#exchange(connection, path);
      if (result.type === "whole") connection.markComplete();
      return result;
    });
  }

  async #exchange(
    connection: TargetConnection,
    path: string,
  ): Promise<ExchangeResult> {
    const { method, headers, body, requestId } = this.#request;
    const res = await connection.client.request({
      method: method as Dispatcher.HttpMethod,
      path,
      headers: { ...headers, [REQUEST_ID_HEADER]: requestId },
      body,
      idempotent: false,
      signal: this.#abort.signal,
    });
    const head = {
      status: res.statusCode,
      headers: flattenHeaders(res.headers),
    };
    const rejection = this.#checkHead(head);
    if (rejection !== undefined) {
      res.body.on("error", () => {});
      res.body.destroy();
      return rejection;
    }
    this.#sink.onHead(head);
    for await (const chunk of res.body) {
      const isToken = await this.#sink.onData(chunk as Buffer);
      if (isToken) clearTimeout(this.#firstTokenTimer);
    }
    if (this.#sink.isComplete()) return { type: "whole", head };
    return failedResult(
      RefusalReason.AnswerTruncated,
      Verdict.MayHaveRun,
      true,
    );
  }

  #checkHead(head: ResponseHead): ExchangeResult | undefined {
    const { status, headers } = head;
    const echoedId = headers[REQUEST_ID_HEADER];
    if (echoedId !== undefined && echoedId !== this.#request.requestId) {
      return failedResult(
        RefusalReason.AnswerCrossed,
        Verdict.MayHaveRun,
        false,
      );
    }
    const statesNotRun = headers[TARGET_VERDICT_HEADER] === Verdict.NotRun;
    if (status === STATUS_TOO_MANY_REQUESTS || statesNotRun) {
      return {
        type: "failed",
        reason: RefusalReason.TargetRefused,
        verdict: Verdict.NotRun,
        isBroken: false,
        status,
        retryAfterMs: parseRetryAfterMs(headers),
      };
    }
    if (status < MIN_SERVER_ERROR_STATUS) return undefined;
    return {
      type: "failed",
      reason: RefusalReason.TargetFailed,
      verdict: Verdict.MayHaveRun,
      isBroken: false,
      status,
    };
  }

  #toFailedResult(err: unknown): ExchangeResult {
    if (this.#timeoutReason !== undefined) {
      return failedResult(this.#timeoutReason, Verdict.MayHaveRun, false);
    }
    if (this.#request.signal.aborted) return { type: "aborted" };
    const code = (err as NodeJS.ErrnoException).code ?? "";
    if (err instanceof ConnectionsExhaustedError) {
      return failedResult(RefusalReason.TargetRefused, Verdict.NotRun, false);
    }
    if (CONNECT_ERROR_CODES.has(code)) {
      return failedResult(RefusalReason.TargetFailed, Verdict.NotRun, true);
    }
    if (TIMEOUT_ERROR_CODES.has(code)) {
      return failedResult(
        RefusalReason.TargetTimeout,
        Verdict.MayHaveRun,
        false,
      );
    }
    return failedResult(
      RefusalReason.AnswerTruncated,
      Verdict.MayHaveRun,
      true,
    );
  }

  #onTimeout(): void {
    this.#timeoutReason = RefusalReason.TargetTimeout;
    this.#abort.abort();
  }
}

function failedResult(
  reason: RefusalReason,
  verdict: Verdict,
  isBroken: boolean,
): ExchangeResult {
  return { type: "failed", reason, verdict, isBroken };
}

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const result: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    result[name.toLowerCase()] = Array.isArray(value)
      ? value.join(", ")
      : value;
  }
  return result;
}

function parseRetryAfterMs(
  headers: Readonly<Record<string, string>>,
): number | undefined {
  const seconds = Number(headers["retry-after"]);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}

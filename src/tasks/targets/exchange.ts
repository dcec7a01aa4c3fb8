/** One HTTP exchange with a target. */
import { Agent, request } from "undici";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";

/** A request to a target. */
export interface ExchangeRequest {
  /** Whole address. */
  readonly url: string;
  /** Method. */
  readonly method: string;
  /** Headers; never a caller's key. */
  readonly headers: Readonly<Record<string, string>>;
  /** Body. */
  readonly body: Buffer | undefined;
  /** Identifier that the target echoes. */
  readonly requestId: string;
  /** Time allowed until the end of the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time allowed until the first event; undefined without a bound. */
  readonly firstTokenTimeoutMs?: number;
  /** Ends the exchange early. */
  readonly signal: AbortSignal;
}

/** Status line and headers of an answer. */
export interface AnswerHead {
  /** HTTP status. */
  readonly status: number;
  /** Headers, with lower case names. */
  readonly headers: Readonly<Record<string, string>>;
}

/** Receives an answer as it comes. */
export interface AnswerSink {
  /** Takes the head of an answer. */
  onHead(head: AnswerHead): void;
  /**
   * Takes a part of the body.
   * @returns Whether the part holds the first token or later ones.
   */
  onData(chunk: Buffer): boolean | Promise<boolean>;
  /** Gets whether the answer is whole, at its end. */
  isWhole(): boolean;
}

/** How an exchange ended. */
export type ExchangeResult =
  | { readonly type: "whole"; readonly head: AnswerHead }
  | {
    readonly type: "failed";
    readonly reason: RefusalReason;
    readonly verdict: Verdict;
    /** Whether the connection broke, as at the death of a target. */
    readonly isBroken: boolean;
    /** Status, where the target answered with one. */
    readonly status?: number;
    readonly retryAfterMs?: number;
  }
  | { readonly type: "aborted" };

/** Header that carries the identifier of a request to a target and back. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header by which a target says that it did not run a request. */
export const TARGET_VERDICT_HEADER = "x-nutmegreel-verdict";

const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 10_000;
const MAX_CONNECTIONS_PER_TARGET = 512;
const MS_PER_SECOND = 1_000;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVER_ERROR = 500;

/** Error codes that come before any byte of the request is written. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
]);

/** Creates the connections to targets; requests on one never overlap. */
export function createTargetAgent(): Agent {
  return new Agent({
    pipelining: 1,
    connections: MAX_CONNECTIONS_PER_TARGET,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** Carries out one exchange and says how it ended. */
export class Exchange {
  readonly #request: ExchangeRequest;
  readonly #sink: AnswerSink;
  readonly #abort = new AbortController();
  #timeoutReason: RefusalReason | undefined;
  #firstTokenTimer: NodeJS.Timeout | undefined;

  /** Creates an exchange. */
  constructor(request: ExchangeRequest, sink: AnswerSink) {
    this.#request = request;
    this.#sink = sink;
  }

  /**
   * Sends the request and feeds the sink until the answer ends.
   * @param agent - Connections to targets.
   */
  async run(agent: Agent): Promise<ExchangeResult> {
    const { signal, timeoutMs, firstTokenTimeoutMs } = this.#request;
    if (signal.aborted) return { type: "aborted" };
    const onAbort = () => this.#abort.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    const timer = setTimeout(() => this.#timeOut(), timeoutMs);
    if (firstTokenTimeoutMs !== undefined) {
      this.#firstTokenTimer = setTimeout(
        () => this.#timeOut(),
        firstTokenTimeoutMs,
      );
    }
    try {
      return await this.#exchange(agent);
    } catch (err) {
      return this.#failure(err);
    } finally {
      clearTimeout(timer);
      clearTimeout(this.#firstTokenTimer);
      signal.removeEventListener("abort", onAbort);
    }
  }

  async #exchange(agent: Agent): Promise<ExchangeResult> {
    const { url, method, headers, body, requestId } = this.#request;
    const res = await request(url, {
      dispatcher: agent,
      method: method as "POST",
      headers: { ...headers, [REQUEST_ID_HEADER]: requestId },
      body,
      idempotent: false,
      signal: this.#abort.signal,
    });
    const head = { status: res.statusCode, headers: flat(res.headers) };
    const refused = this.#refusalOf(head);
    if (refused !== undefined) {
      res.body.on("error", () => {});
      res.body.destroy();
      return refused;
    }
    this.#sink.onHead(head);
    for await (const chunk of res.body) {
      const isToken = await this.#sink.onData(chunk as Buffer);
      if (isToken) clearTimeout(this.#firstTokenTimer);
    }
    if (this.#sink.isWhole()) return { type: "whole", head };
    return failed(RefusalReason.AnswerTruncated, Verdict.MayHaveRun, true);
  }

  #refusalOf(head: AnswerHead): ExchangeResult | undefined {
    const { status, headers } = head;
    const echoed = headers[REQUEST_ID_HEADER];
    if (echoed !== undefined && echoed !== this.#request.requestId) {
      return failed(RefusalReason.AnswerCrossed, Verdict.MayHaveRun, false);
    }
    const saysNotRun = headers[TARGET_VERDICT_HEADER] === Verdict.NotRun;
    if (status === STATUS_TOO_MANY_REQUESTS || saysNotRun) {
      return {
        type: "failed",
        reason: RefusalReason.TargetRefused,
        verdict: Verdict.NotRun,
        isBroken: false,
        status,
        retryAfterMs: retryAfterOf(headers),
      };
    }
    if (status < STATUS_SERVER_ERROR) return undefined;
    return {
      type: "failed",
      reason: RefusalReason.TargetFailed,
      verdict: Verdict.MayHaveRun,
      isBroken: false,
      status,
    };
  }

  #failure(err: unknown): ExchangeResult {
    if (this.#timeoutReason !== undefined) {
      return failed(this.#timeoutReason, Verdict.MayHaveRun, false);
    }
    if (this.#request.signal.aborted) return { type: "aborted" };
    const code = (err as NodeJS.ErrnoException).code ?? "";
    if (NOT_CONNECTED_CODES.has(code)) {
      return failed(RefusalReason.TargetFailed, Verdict.NotRun, true);
    }
    if (TIMEOUT_CODES.has(code)) {
      return failed(RefusalReason.TargetTimeout, Verdict.MayHaveRun, false);
    }
    return failed(RefusalReason.AnswerTruncated, Verdict.MayHaveRun, true);
  }

  #timeOut(): void {
    this.#timeoutReason = RefusalReason.TargetTimeout;
    this.#abort.abort();
  }
}

function failed(
  reason: RefusalReason,
  verdict: Verdict,
  isBroken: boolean,
): ExchangeResult {
  return { type: "failed", reason, verdict, isBroken };
}

function flat(
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

function retryAfterOf(
  headers: Readonly<Record<string, string>>,
): number | undefined {
  const seconds = Number(headers["retry-after"]);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}

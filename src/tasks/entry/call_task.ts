/** Runs the calls to model routes and services. */
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RouteSettings } from "../../core/configuration/mod.ts";
import { canonicalJson } from "../../core/control/mod.ts";
import { type WorkItem, WorkKind } from "../../core/dispatch/mod.ts";
import type { KeyRecord } from "../../core/keys/mod.ts";
import type { CallKey, StoredResponse } from "../../core/ledger/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { UsageMeter } from "../steps/mod.ts";
import type { DispatchTask, JobResult, TargetRequest } from "../targets/mod.ts";
import { CallJob } from "./call_job.ts";
import type { CallGuard } from "./call_guard.ts";
import { getForwardedHeaders, throwIfResumed } from "./caller.ts";
import { malformedRequest } from "./http_body.ts";
import { sendRefusal } from "./http_response.ts";

/** Options of {@link CallTask}. */
export interface CallTaskOptions {
  /** Runs the calls at targets. */
  readonly dispatch: DispatchTask;
  /** Ensures that calls with an idempotency key run at most once. */
  readonly guard: CallGuard;
  /** Identifies this process as the owner of its calls. */
  readonly owner: string;
  readonly usage: UsageMeter;
  readonly metrics: Metrics;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Maximum number of response bytes buffered. */
  readonly maxAnswerBytes: number;
}

/** A caller's request, authenticated and validated. */
export interface Call {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Key of the caller; undefined for an anonymous caller of an open route. */
  readonly key: KeyRecord | undefined;
  readonly routeId: string;
  readonly route: RouteSettings;
  /** Path at the target, including the query. */
  readonly path: string;
  /** Body sent to the target. */
  readonly body: Buffer;
  /** Parsed body; undefined for calls to services. */
  readonly json?: Readonly<Record<string, unknown>>;
}

interface ActiveCall {
  readonly job: CallJob;
  readonly keyId: string | undefined;
  /** Refusal reason to respond with if the job is cancelled. */
  reason: RefusalReason;
}

/** Workspace to which callers without a key are attributed. */
const ANONYMOUS_WORKSPACE = "(open)";
/** Header by which a caller limits the duration of its request. */
const TIMEOUT_HEADER = "x-request-timeout-ms";
const IDEMPOTENCY_HEADER = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const DEFAULT_TOKENS = 256;
const CHARACTERS_PER_TOKEN = 4;

/** Runs calls and sends their responses. */
export class CallTask {
  readonly #options: CallTaskOptions;
  readonly #active = new Map<string, ActiveCall>();

  constructor(options: CallTaskOptions) {
    this.#options = options;
  }

  /** Gets the number of waiting and running calls. */
  get size(): number {
    return this.#active.size;
  }

  /**
   * Runs a call and responds to it.
   * @throws RefusalError if its idempotency key is invalid or not admitted, or
   *     if the caller takes a stream up.
   */
  async run(call: Call): Promise<void> {
    throwIfResumed(call.req);
    const idempotencyKey = getIdempotencyKey(call);
    if (idempotencyKey === undefined) {
      return await this.#runJob(call, undefined);
    }
    const admission = await this.#options.guard.admit({
      key: idempotencyKey,
      fingerprint: getFingerprint(call),
      owner: this.#options.owner,
    });
    if (admission.type === "run") {
      return await this.#runJob(call, idempotencyKey);
    }
    replayStoredResponse(call.res, admission.answer);
  }

  /** Cancels all calls under a withdrawn key. */
  onKeyWithdrawn(keyId: string): void {
    for (const [id, active] of [...this.#active]) {
      if (active.keyId !== keyId) continue;
      active.reason = RefusalReason.KeyWithdrawn;
      this.#options.dispatch.cancel(id);
    }
  }

  async #runJob(
    call: Call,
    idempotencyKey: CallKey | undefined,
  ): Promise<void> {
    const startedAt = this.#options.now();
    const item = this.#createItem(call, startedAt);
    const job = new CallJob({
      item,
      request: createTargetRequest(call, item.deadline - startedAt),
      res: call.res,
      maxAnswerBytes: this.#options.maxAnswerBytes,
      buffersStreams: idempotencyKey !== undefined,
    });
    const active: ActiveCall = {
      job,
      keyId: call.key?.id,
      reason: RefusalReason.CallerLeft,
    };
    this.#active.set(item.id, active);
    const onClose = () => this.#onCallerClosed(item.id, idempotencyKey);
    call.res.once("close", onClose);
    this.#options.metrics.count("requests.arrived");
    this.#options.dispatch.submit(job);
    const result = await job.ended;
    this.#active.delete(item.id);
    call.res.off("close", onClose);
    await this.#sendResult(call, { active, result, idempotencyKey });
    this.#options.metrics.timing(
      "requests.duration",
      this.#options.now() - startedAt,
    );
  }

  #onCallerClosed(itemId: string, idempotencyKey: CallKey | undefined): void {
    if (idempotencyKey === undefined) this.#options.dispatch.cancel(itemId);
  }

  async #sendResult(
    call: Call,
    end: {
      active: ActiveCall;
      result: JobResult;
      idempotencyKey: CallKey | undefined;
    },
  ): Promise<void> {
    const { active, result, idempotencyKey } = end;
    const sink = active.job.sink;
    if (result.type === "completed" && sink !== undefined) {
      this.#options.metrics.count("requests.completed");
      this.#options.usage.add(
        { workspace: active.job.item.workspace, route: call.routeId },
        { requests: 1, tokens: sink.tokens },
      );
      if (idempotencyKey !== undefined) {
        await this.#options.guard.finish(
          idempotencyKey,
          sink.toStoredResponse(),
        );
      }
      sink.end();
      return;
    }
    const refusal = this.#toRefusal(active, result);
    if (idempotencyKey !== undefined) {
      await this.#options.guard.fail(idempotencyKey, refusal.verdict).catch(
        () => {
          // The ledger primary marks the call as lost once this process has
          // exited.
        },
      );
    }
    sendRefusal(call.res, refusal);
  }

  #toRefusal(active: ActiveCall, result: JobResult): RefusalError {
    if (active.job.sink?.isTooLarge) {
      return new RefusalError(RefusalReason.TargetFailed, Verdict.Ran, {
        message: "The answer is longer than may be held",
      });
    }
    if (result.type === "refused") {
      const { reason, verdict, retryAfterMs } = result;
      return new RefusalError(reason, verdict, { retryAfterMs });
    }
    const hasStarted = active.job.sink !== undefined;
    const verdict = hasStarted ? Verdict.MayHaveRun : Verdict.NotRun;
    return new RefusalError(active.reason, verdict);
  }

  #createItem(call: Call, now: number): WorkItem {
    const { route } = call;
    const tokens = estimateTokens(call);
    const workspace = call.key?.workspace ?? ANONYMOUS_WORKSPACE;
    const fingerprint = getFingerprint(call);
    return {
      id: randomUUID(),
      kind: WorkKind.Call,
      workspace,
      route: call.routeId,
      pool: route.model ?? call.routeId,
      cost: tokens,
      tokens,
      prefix: getPrefixHash(call),
      prefixTokens: Math.ceil(call.body.length / CHARACTERS_PER_TOKEN),
      fingerprint,
      idempotent: route.idempotent,
      maxAttempts: route.maxAttempts,
      deadline: now + getTimeoutMs(call),
      firstTokenTimeoutMs: call.json?.stream === true
        ? route.firstTokenTimeoutMs
        : undefined,
    };
  }
}

function getIdempotencyKey(call: Call): CallKey | undefined {
  const key = call.req.headers[IDEMPOTENCY_HEADER];
  if (typeof key !== "string" || call.key === undefined) return undefined;
  if (key.length === 0 || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw malformedRequest(
      "Expected an idempotency key of 1 to 255 characters",
    );
  }
  return { workspace: call.key.workspace, key };
}

function getFingerprint(call: Call): string {
  const hash = createHash("sha256");
  hash.update(`${call.req.method} ${call.routeId} ${call.path}\n`);
  hash.update(call.json === undefined ? call.body : canonicalJson(call.json));
  return hash.digest("base64url");
}

/**
 * Hashes the first messages of a conversation. Targets that served the same
 * prefix may have it in their cache.
 */
function getPrefixHash(call: Call): string | undefined {
  if (call.json === undefined) return undefined;
  const { messages, prompt } = call.json;
  const opening = Array.isArray(messages) ? messages.slice(0, 2) : prompt;
  const text = `${call.routeId} ${canonicalJson(opening)}`;
  return createHash("sha256").update(text).digest("base64url");
}

function estimateTokens(call: Call): number {
  const requested = call.json?.max_tokens ?? call.json?.max_completion_tokens;
  if (typeof requested === "number" && requested > 0) {
    return Math.ceil(requested);
  }
  return call.json === undefined ? 1 : DEFAULT_TOKENS;
}

function getTimeoutMs(call: Call): number {
  const requestedMs = Number(call.req.headers[TIMEOUT_HEADER]);
  const isRequested = Number.isFinite(requestedMs) && requestedMs > 0;
  return isRequested
    ? Math.min(requestedMs, call.route.timeoutMs)
    : call.route.timeoutMs;
}

function createTargetRequest(call: Call, timeoutMs: number): TargetRequest {
  const headers = getForwardedHeaders(call.req);
  headers[TIMEOUT_HEADER] = String(Math.ceil(timeoutMs));
  return {
    path: call.path,
    method: call.req.method ?? "POST",
    headers,
    body: call.body.length === 0 ? undefined : call.body,
    timeoutMs,
  };
}

function replayStoredResponse(
  res: ServerResponse,
  stored: StoredResponse,
): void {
  const body = Buffer.from(stored.bodyBase64, "base64");
  res.writeHead(stored.status, {
    "content-type": stored.contentType,
    "content-length": body.length,
    "idempotent-replayed": "true",
  });
  res.end(body);
}

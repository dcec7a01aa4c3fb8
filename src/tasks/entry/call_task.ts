/** Answers callers of model routes and of plain services. */
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RouteSettings } from "../../core/configuration/mod.ts";
import { canonicalJson } from "../../core/control/mod.ts";
import { type WorkItem, WorkKind } from "../../core/dispatch/mod.ts";
import type { KeyRecord } from "../../core/keys/mod.ts";
import type { CallKey, StoredAnswer } from "../../core/ledger/mod.ts";
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
import { passedHeaders } from "./caller.ts";
import { malformed } from "./http_body.ts";
import { sendRefusal } from "./http_answer.ts";

/** Options of {@link CallTask}. */
export interface CallTaskOptions {
  /** Where work runs. */
  readonly dispatch: DispatchTask;
  /** Guard of calls with an idempotency key. */
  readonly once: CallGuard;
  /** This process, as the owner of its calls. */
  readonly owner: string;
  /** Counts use. */
  readonly usage: UsageMeter;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Bytes of an answer that are held until it is whole. */
  readonly maxAnswerBytes: number;
}

/** A caller's request after its checks. */
export interface Call {
  /** Request. */
  readonly req: IncomingMessage;
  /** Response. */
  readonly res: ServerResponse;
  /** Key of the caller; undefined on an open route. */
  readonly key: KeyRecord | undefined;
  /** Name of the route. */
  readonly routeId: string;
  /** Route. */
  readonly route: RouteSettings;
  /** Path at the target, with its query. */
  readonly path: string;
  /** Body; parsed where the route serves a model. */
  readonly body: Buffer;
  /** Parsed body of a model request. */
  readonly json?: Readonly<Record<string, unknown>>;
}

interface ActiveCall {
  readonly job: CallJob;
  readonly keyId: string | undefined;
  /** Reason to answer with where the job is cancelled. */
  reason: RefusalReason;
}

/** Workspace that stands for callers without a key. */
const OPEN_WORKSPACE = "(open)";
/** Header by which a caller bounds the time of its request. */
const TIMEOUT_HEADER = "x-request-timeout-ms";
const IDEMPOTENCY_HEADER = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const DEFAULT_TOKENS = 256;
const CHARACTERS_PER_TOKEN = 4;

/** Owns the calls that wait or run. */
export class CallTask {
  readonly #options: CallTaskOptions;
  readonly #active = new Map<string, ActiveCall>();

  /** Creates the task. */
  constructor(options: CallTaskOptions) {
    this.#options = options;
  }

  /** Gets the number of calls that wait or run. */
  get size(): number {
    return this.#active.size;
  }

  /** Runs a call and answers it. */
  async run(call: Call): Promise<void> {
    const onceKey = onceKeyOf(call);
    if (onceKey === undefined) return await this.#runNow(call, undefined);
    const admission = await this.#options.once.admit({
      key: onceKey,
      fingerprint: fingerprintOf(call),
      owner: this.#options.owner,
    });
    if (admission.type === "run") return await this.#runNow(call, onceKey);
    sendStored(call.res, admission.answer);
  }

  /** Ends every call under a withdrawn key. */
  onKeyWithdrawn(keyId: string): void {
    for (const [id, active] of [...this.#active]) {
      if (active.keyId !== keyId) continue;
      active.reason = RefusalReason.KeyWithdrawn;
      this.#options.dispatch.cancel(id);
    }
  }

  async #runNow(call: Call, onceKey: CallKey | undefined): Promise<void> {
    const startedAt = this.#options.now();
    const item = this.#itemOf(call, startedAt);
    const job = new CallJob({
      item,
      request: requestOf(call, item.deadline - startedAt),
      res: call.res,
      maxAnswerBytes: this.#options.maxAnswerBytes,
      buffersStreams: onceKey !== undefined,
    });
    const active: ActiveCall = {
      job,
      keyId: call.key?.id,
      reason: RefusalReason.CallerLeft,
    };
    this.#active.set(item.id, active);
    const onClose = () => this.#onClose(item.id, onceKey);
    call.res.once("close", onClose);
    this.#options.metrics.count("requests.arrived");
    this.#options.dispatch.submit(job);
    const result = await job.ended;
    this.#active.delete(item.id);
    call.res.off("close", onClose);
    await this.#answer(call, { active, result, onceKey });
    this.#options.metrics.timing(
      "requests.duration",
      this.#options.now() - startedAt,
    );
  }

  #onClose(itemId: string, onceKey: CallKey | undefined): void {
    if (onceKey === undefined) this.#options.dispatch.cancel(itemId);
  }

  async #answer(
    call: Call,
    end: {
      active: ActiveCall;
      result: JobResult;
      onceKey: CallKey | undefined;
    },
  ): Promise<void> {
    const { active, result, onceKey } = end;
    const sink = active.job.sink;
    if (result.type === "completed" && sink !== undefined) {
      this.#options.metrics.count("requests.completed");
      this.#options.usage.add(
        { workspace: active.job.item.workspace, route: call.routeId },
        { requests: 1, tokens: sink.tokens },
      );
      if (onceKey !== undefined) {
        await this.#options.once.finish(onceKey, sink.toStoredResponse());
      }
      sink.end();
      return;
    }
    const refusal = this.#refusalOf(active, result);
    if (onceKey !== undefined) {
      await this.#options.once.fail(onceKey, refusal.verdict).catch(() => {
        // The ledger hears of it once this process is gone.
      });
    }
    sendRefusal(call.res, refusal);
  }

  #refusalOf(active: ActiveCall, result: JobResult): RefusalError {
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

  #itemOf(call: Call, now: number): WorkItem {
    const { route } = call;
    const tokens = tokensOf(call);
    const workspace = call.key?.workspace ?? OPEN_WORKSPACE;
    const fingerprint = fingerprintOf(call);
    return {
      id: randomUUID(),
      kind: WorkKind.Call,
      workspace,
      route: call.routeId,
      pool: route.model ?? call.routeId,
      cost: tokens,
      tokens,
      prefix: prefixOf(call),
      prefixTokens: Math.ceil(call.body.length / CHARACTERS_PER_TOKEN),
      fingerprint,
      idempotent: route.idempotent,
      maxAttempts: route.maxAttempts,
      deadline: now + timeoutOf(call),
      firstTokenTimeoutMs: call.json?.stream === true
        ? route.firstTokenTimeoutMs
        : undefined,
    };
  }
}

function onceKeyOf(call: Call): CallKey | undefined {
  const key = call.req.headers[IDEMPOTENCY_HEADER];
  if (typeof key !== "string" || call.key === undefined) return undefined;
  if (key.length === 0 || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw malformed("Expected an idempotency key of 1 to 255 characters");
  }
  return { workspace: call.key.workspace, key };
}

function fingerprintOf(call: Call): string {
  const hash = createHash("sha256");
  hash.update(`${call.req.method} ${call.routeId} ${call.path}\n`);
  hash.update(call.json === undefined ? call.body : canonicalJson(call.json));
  return hash.digest("base64url");
}

/** The opening of a conversation stands for its cached prefix. */
function prefixOf(call: Call): string | undefined {
  if (call.json === undefined) return undefined;
  const { messages, prompt } = call.json;
  const opening = Array.isArray(messages) ? messages.slice(0, 2) : prompt;
  const text = `${call.routeId} ${canonicalJson(opening)}`;
  return createHash("sha256").update(text).digest("base64url");
}

function tokensOf(call: Call): number {
  const asked = call.json?.max_tokens ?? call.json?.max_completion_tokens;
  if (typeof asked === "number" && asked > 0) return Math.ceil(asked);
  return call.json === undefined ? 1 : DEFAULT_TOKENS;
}

function timeoutOf(call: Call): number {
  const asked = Number(call.req.headers[TIMEOUT_HEADER]);
  const isAsked = Number.isFinite(asked) && asked > 0;
  return isAsked ? Math.min(asked, call.route.timeoutMs) : call.route.timeoutMs;
}

function requestOf(call: Call, timeoutMs: number): TargetRequest {
  const headers = passedHeaders(call.req);
  headers[TIMEOUT_HEADER] = String(Math.ceil(timeoutMs));
  return {
    path: call.path,
    method: call.req.method ?? "POST",
    headers,
    body: call.body.length === 0 ? undefined : call.body,
    timeoutMs,
  };
}

function sendStored(res: ServerResponse, answer: StoredAnswer): void {
  const body = Buffer.from(answer.bodyBase64, "base64");
  res.writeHead(answer.status, {
    "content-type": answer.contentType,
    "content-length": body.length,
    "idempotent-replayed": "true",
  });
  res.end(body);
}

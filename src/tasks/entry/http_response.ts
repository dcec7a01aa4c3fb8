/** Responses to callers. */
import type { ServerResponse } from "node:http";
import { InvariantError } from "../../core/invariants/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { breakOff } from "../broken_response.ts";

/** Header that carries the verdict of a failed request. */
export const VERDICT_HEADER = "x-nutmegreel-verdict";

const MS_PER_SECOND = 1_000;

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  body: unknown,
  options: { status?: number; headers?: Record<string, string> } = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(options.status ?? 200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...options.headers,
  });
  res.end(text);
}

/**
 * Sends a refusal.
 *
 * If a stream has already begun, the refusal is sent as its last event and the
 * connection is broken, so that the caller cannot mistake the truncated stream
 * for a complete one.
 */
export function sendRefusal(res: ServerResponse, refusal: RefusalError): void {
  if (res.destroyed || res.writableEnded) return;
  if (res.headersSent) {
    const event = `event: error\ndata: ${JSON.stringify(refusal.toBody())}\n\n`;
    res.write(event, () => breakOff(res));
    return;
  }
  const headers: Record<string, string> = {
    [VERDICT_HEADER]: refusal.verdict,
  };
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    headers["retry-after"] = String(Math.max(1, seconds));
  }
  sendJson(res, refusal.toBody(), { status: refusal.status, headers });
}

/**
 * Converts an error to a refusal. An {@link InvariantError} gets verdict
 * `notRun`, any other unexpected error `mayHaveRun`.
 */
export function toRefusal(err: unknown): RefusalError {
  if (err instanceof RefusalError) return err;
  const verdict = err instanceof InvariantError
    ? Verdict.NotRun
    : Verdict.MayHaveRun;
  return new RefusalError(RefusalReason.Internal, verdict, { cause: err });
}

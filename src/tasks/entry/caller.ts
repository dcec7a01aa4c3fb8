/** Authentication of callers, and the headers forwarded to targets. */
import type { IncomingMessage } from "node:http";
import type { KeyDirectory, KeyRecord } from "../../core/keys/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { malformedRequest } from "./http_body.ts";

/** Header in which a caller may send its key instead of a bearer token. */
const KEY_HEADER = "x-api-key";
const LAST_EVENT_ID_HEADER = "last-event-id";
const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Request headers that are forwarded to targets. */
const FORWARDED_HEADERS: readonly string[] = [
  "content-type",
  "content-encoding",
  "accept",
  "accept-language",
  "user-agent",
  "idempotency-key",
  "if-match",
  "if-none-match",
  "traceparent",
  "tracestate",
];

/** Gets the API key of a request; undefined if it has none. */
export function getPresentedKey(req: IncomingMessage): string | undefined {
  const header = req.headers[KEY_HEADER];
  if (typeof header === "string") return header;
  const match = BEARER_PATTERN.exec(req.headers.authorization ?? "");
  return match?.[1];
}

/**
 * Gets the key record of the caller.
 * @throws RefusalError with verdict notRun if the key is missing or unknown.
 */
export function authenticateOrThrow(
  req: IncomingMessage,
  keys: KeyDirectory,
): KeyRecord {
  return keys.authenticateOrThrow(getPresentedKey(req));
}

/**
 * Throws if the API key of a request occurs outside its header.
 *
 * Path, query, body and other headers are forwarded to a target, which must not
 * see the key.
 * @throws RefusalError with verdict notRun.
 */
export function throwIfKeyLeaks(
  req: IncomingMessage,
  body: Buffer | undefined,
): void {
  const key = getPresentedKey(req);
  if (key === undefined || key === "") return;
  const url = req.url ?? "";
  const forwarded = Object.values(getForwardedHeaders(req));
  const isLeaked = url.includes(key) ||
    decodeUrl(url).includes(key) ||
    forwarded.some((value) => value.includes(key)) ||
    (body?.includes(key) ?? false);
  if (isLeaked) throw malformedRequest("Found the key outside its header");
}

/** Gets the headers that are forwarded to a target. */
export function getForwardedHeaders(
  req: IncomingMessage,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = req.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return headers;
}

function decodeUrl(url: string): string {
  try {
    return decodeURIComponent(url);
  } catch {
    return url;
  }
}

/**
 * Refuses to continue a stream that another request began: these targets report
 * no software version, and unknown ones do not match.
 * @throws RefusalError with verdict notRun.
 */
export function throwIfResumed(req: IncomingMessage): void {
  const lastEventId = req.headers[LAST_EVENT_ID_HEADER];
  if (lastEventId === undefined || lastEventId === "") return;
  throw new RefusalError(RefusalReason.StreamUnknown, Verdict.NotRun, {
    message: "Streams are not taken up here; send the request without " +
      LAST_EVENT_ID_HEADER,
  });
}

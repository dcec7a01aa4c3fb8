/** Who sends a request, and what of it may go on to a target. */
import type { IncomingMessage } from "node:http";
import type { KeyDirectory, KeyRecord } from "../../core/keys/mod.ts";
import { malformed } from "./http_body.ts";

/** Header by which a caller may present its key instead of a bearer token. */
const KEY_HEADER = "x-api-key";
const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Headers of a caller that are passed on to a target. */
const PASSED_HEADERS: readonly string[] = [
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

/** Gets the key that a request presents, or undefined. */
export function presentedKeyOf(req: IncomingMessage): string | undefined {
  const header = req.headers[KEY_HEADER];
  if (typeof header === "string") return header;
  const match = BEARER_PATTERN.exec(req.headers.authorization ?? "");
  return match?.[1];
}

/**
 * Gets the record of the key of a request.
 * @throws RefusalError with verdict notRun.
 */
export function authenticateOrThrow(
  req: IncomingMessage,
  keys: KeyDirectory,
): KeyRecord {
  return keys.authenticateOrThrow(presentedKeyOf(req));
}

/**
 * Throws where the key of a request stands anywhere but in its header.
 *
 * Path, query, body and other headers go on to a target, which must not see
 * the key.
 */
export function throwIfKeyElsewhere(
  req: IncomingMessage,
  body: Buffer | undefined,
): void {
  const key = presentedKeyOf(req);
  if (key === undefined || key === "") return;
  const url = req.url ?? "";
  const passed = Object.values(passedHeaders(req));
  const isElsewhere = url.includes(key) ||
    decoded(url).includes(key) ||
    passed.some((value) => value.includes(key)) ||
    (body?.includes(key) ?? false);
  if (isElsewhere) throw malformed("Found the key outside its header");
}

/** Gets the headers that go on to a target. */
export function passedHeaders(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of PASSED_HEADERS) {
    const value = req.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return headers;
}

function decoded(url: string): string {
  try {
    return decodeURIComponent(url);
  } catch {
    return url;
  }
}

/** Responses of targets in all framings, cut at each byte. */
import type { CutResponse } from "./cutting_target.ts";
import type { ConnectionEnd } from "./received_response.ts";

/** A kind of response, of which any part may be sent. */
export interface ResponseKind {
  readonly name: string;
  readonly bytes: Buffer;
}

/** Options of {@link createResponseKinds}. */
export interface ResponseKindOptions {
  readonly status?: string;
  /** Further lines of the head. */
  readonly headers?: readonly string[];
  /** Parts of the body, each of which is a chunk where it is chunked. */
  readonly parts: readonly string[];
}

const EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const ERROR = "HTTP/1.1 500 Internal Server Error\r\n" +
  "Content-Length: 5\r\n\r\nerror";

/** Creates a response in each framing. */
export function createResponseKinds(
  { status = "200 OK", headers = [], parts }: ResponseKindOptions,
): ResponseKind[] {
  const body = parts.join("");
  const chunks = parts
    .map((part) => `${part.length.toString(16)}\r\n${part}\r\n`)
    .join("");
  const sized = `Content-Length: ${body.length}`;
  const chunked = "Transfer-Encoding: chunked";
  const last = "0\r\n\r\n";
  const headOf = (version: string, ...own: string[]) =>
    [`HTTP/${version} ${status}`, ...headers, ...own, "", ""].join("\r\n");
  const texts: Readonly<Record<string, string>> = {
    "length": headOf("1.1", sized) + body,
    "length, close": headOf("1.1", sized, "Connection: close") + body,
    "length, 1.0": headOf("1.0", sized) + body,
    "length, 1.0, kept": headOf("1.0", sized, "Connection: keep-alive") + body,
    "chunked": headOf("1.1", chunked) + chunks + last,
    "chunked, close": headOf("1.1", chunked, "Connection: close") + chunks +
      last,
    "chunked, 1.0": headOf("1.0", chunked) + chunks + last,
    "neither": headOf("1.1") + body,
    "neither, close": headOf("1.1", "Connection: close") + body,
    "neither, 1.0": headOf("1.0") + body,
    "length after 103": EARLY_HINTS + headOf("1.1", sized) + body,
    "chunked after 103, close": EARLY_HINTS +
      headOf("1.1", chunked, "Connection: close") + chunks + last,
  };
  return Object.entries(texts)
    .map(([name, text]) => ({ name, bytes: Buffer.from(text) }));
}

/** What a target does at the cut; "error" is a response that begins there. */
export type CutWay = ConnectionEnd | "error";

/** Gets whether bytes that make a whole response may be taken for broken. */
export function mayBeBroken(way: CutWay): boolean {
  // A reset may overtake them; those of an error may be no valid response.
  return way === "reset" || way === "error";
}

/** A response that was cut, with a description. */
export interface NamedCut extends CutResponse {
  readonly name: string;
}

const HEAD_END = "\r\n\r\n";

/** Cuts a response at each byte, and ends or goes on in a way. */
export function cutEverywhere(
  { name, bytes }: ResponseKind,
  way: CutWay,
  from = 0,
): NamedCut[] {
  return Array.from({ length: bytes.length + 1 - from }, (_, i) => {
    const at = from + i;
    const part = at === bytes.length ? bytes : bytes.subarray(0, at);
    const label = `${name}, ${way} at ${at}`;
    if (way === "error") {
      const all = Buffer.concat([part, Buffer.from(ERROR)]);
      return { name: label, bytes: all, end: "closed" };
    }
    // The connection of a whole response may carry the request of another case.
    const end = keepsConnection(bytes) && part === bytes ? "open" : way;
    return { name: label, bytes: part, end };
  });
}

/** Cuts the first kind at each byte, and all others where their head ends. */
export function cutKinds(
  kinds: readonly ResponseKind[],
  way: CutWay,
): NamedCut[] {
  return kinds.flatMap((kind, i) => {
    return cutEverywhere(kind, way, i === 0 ? 0 : headEndOf(kind.bytes));
  });
}

/** Gets where the final head of a response ends, before its empty line. */
function headEndOf(bytes: Buffer): number {
  const end = bytes.indexOf(HEAD_END);
  return bytes.toString("latin1").startsWith("HTTP/1.1 1")
    ? bytes.indexOf(HEAD_END, end + 1)
    : end;
}

/** Gets whether a whole response leaves its connection open. */
function keepsConnection(bytes: Buffer): boolean {
  const head = bytes.subarray(0, headEndOf(bytes)).toString("latin1");
  const hasEnd = /Content-Length|Transfer-Encoding/.test(head);
  return hasEnd && !head.includes("HTTP/1.0 ") && !head.includes(": close") ||
    head.includes(": keep-alive");
}

/** Reads the bytes of a response independently of any HTTP library. */

/** How the bytes of a connection ended; "open" if they have not. */
export type ConnectionEnd = "closed" | "reset" | "open";

/** A response as far as its bytes go. */
export interface ReceivedResponse {
  readonly status: number;
  /** Headers, with lower-case names; the last value of each. */
  readonly headers: Readonly<Record<string, string>>;
  /** The part of the body that has arrived. */
  readonly body: Buffer;
  readonly isComplete: boolean;
  /** Bytes after a complete response. */
  readonly rest: Buffer;
}

const MIN_FINAL_STATUS = 200;
const HEAD_END = "\r\n\r\n";
const LINE_END = "\r\n";
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

type ReceivedBody = Pick<ReceivedResponse, "body" | "isComplete" | "rest">;

/**
 * Reads the final response to a request.
 * @param method - Method of the request; a response to HEAD has no body.
 * @returns Undefined if its head is not complete.
 *
 * @example
 * ```ts
 * readResponse(Buffer.from("HTTP/1.1 200 OK\r\n\r\nab"), "reset")?.isComplete;
 * ```
 */
export function readResponse(
  bytes: Buffer,
  end: ConnectionEnd,
  method = "POST",
): ReceivedResponse | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, headEnd).toString("latin1")
    .split(LINE_END);
  const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(first)?.[1]);
  const after = bytes.subarray(headEnd + HEAD_END.length);
  if (status < MIN_FINAL_STATUS) return readResponse(after, end, method);
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    const name = line.slice(0, colon).toLowerCase();
    return [name, line.slice(colon + 1).trim()];
  }));
  const isBodiless = method === "HEAD" || BODILESS_STATUSES.has(status);
  const body = isBodiless ? readSized(after, 0) : readBody(after, headers, end);
  return { status, headers, ...body };
}

function readBody(
  bytes: Buffer,
  headers: ReceivedResponse["headers"],
  end: ConnectionEnd,
): ReceivedBody {
  if (headers["transfer-encoding"] === "chunked") return readChunked(bytes);
  const length = headers["content-length"];
  if (length !== undefined) return readSized(bytes, Number(length));
  return { body: bytes, isComplete: end === "closed", rest: EMPTY };
}

function readSized(bytes: Buffer, length: number): ReceivedBody {
  return {
    body: bytes.subarray(0, length),
    isComplete: bytes.length >= length,
    rest: bytes.subarray(length),
  };
}

function readChunked(bytes: Buffer): ReceivedBody {
  const parts: Buffer[] = [];
  let at = 0;
  while (true) {
    const lineEnd = bytes.indexOf(LINE_END, at);
    const size = /^([0-9a-f]+)(;.*)?$/i
      .exec(bytes.subarray(at, Math.max(at, lineEnd)).toString("latin1"))?.[1];
    const body = () => Buffer.concat(parts);
    if (size === undefined) {
      return { body: body(), isComplete: false, rest: EMPTY };
    }
    const length = parseInt(size, 16);
    const start = lineEnd + LINE_END.length;
    if (length === 0) return readTrailers(bytes, lineEnd, body());
    parts.push(bytes.subarray(start, start + length));
    at = start + length + LINE_END.length;
    const isEnded = bytes.subarray(start + length, at).toString() === LINE_END;
    if (!isEnded) return { body: body(), isComplete: false, rest: EMPTY };
  }
}

/** Reads what follows the last chunk, up to an empty line. */
function readTrailers(bytes: Buffer, from: number, body: Buffer): ReceivedBody {
  const end = bytes.indexOf(HEAD_END, from);
  return {
    body,
    isComplete: end >= 0,
    rest: end < 0 ? EMPTY : bytes.subarray(end + HEAD_END.length),
  };
}

const EMPTY = Buffer.alloc(0);

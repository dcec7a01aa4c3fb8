/** Reading and validation of request bodies. */
import type { IncomingMessage } from "node:http";
import type * as z from "zod";
import { toFaults } from "../../core/configuration/mod.ts";
import { parseBoundedJson } from "../../schemas/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** Maximum size of the body, in bytes. */
  readonly maxBytes: number;
  /** Timeout for receiving the body, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Reads a request body completely.
 * @throws RefusalError with verdict notRun if the body is too large, truncated
 * or late.
 */
export function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Buffer> {
  const length = Number(req.headers["content-length"] ?? 0);
  if (length > options.maxBytes) return Promise.reject(bodyTooLarge());
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => fail(bodyTruncated()), options.timeoutMs);
    const fail = (err: RefusalError) => {
      clearTimeout(timer);
      req.removeAllListeners("data");
      req.pause();
      reject(err);
    };
    req.on("data", (part: Buffer) => {
      size += part.length;
      if (size > options.maxBytes) fail(bodyTooLarge());
      else parts.push(part);
    });
    req.once("end", () => {
      clearTimeout(timer);
      resolve(Buffer.concat(parts));
    });
    req.once("aborted", () => fail(bodyTruncated()));
    req.once("error", () => fail(bodyTruncated()));
  });
}

/**
 * Parses a JSON object.
 * @throws RefusalError with verdict notRun if the body is anything else.
 */
export function parseJsonOrThrow(body: Buffer): Record<string, unknown> {
  try {
    const value: unknown = parseBoundedJson(body.toString("utf8"));
    if (value !== null && typeof value === "object" && !Array.isArray(value)) {
      return value as Record<string, unknown>;
    }
  } catch {
    // Invalid JSON is refused like a value that is not an object.
  }
  throw malformedRequest("Expected a JSON object");
}

/**
 * Validates a parsed body against a schema.
 * @throws RefusalError that lists all faults.
 */
export function checkBodyOrThrow<T extends z.ZodType>(
  schema: T,
  body: unknown,
): z.output<T> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const faults = toFaults(parsed.error)
    .map((fault) => `${fault.path || "(body)"}: ${fault.reason}`);
  throw malformedRequest(faults.join("; "));
}

/** Creates the refusal for a malformed request. */
export function malformedRequest(message: string): RefusalError {
  return new RefusalError(RefusalReason.MalformedRequest, Verdict.NotRun, {
    message,
  });
}

function bodyTooLarge(): RefusalError {
  return new RefusalError(RefusalReason.BodyTooLarge, Verdict.NotRun);
}

function bodyTruncated(): RefusalError {
  return new RefusalError(RefusalReason.BodyTruncated, Verdict.NotRun);
}

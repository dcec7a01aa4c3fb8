/** Reads bounded bodies of callers' requests. */
import type { IncomingMessage } from "node:http";
import type * as z from "zod";
import { toFaults } from "../../core/configuration/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** Bytes allowed. */
  readonly maxBytes: number;
  /** Time allowed, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Reads a whole body.
 * @throws RefusalError with verdict notRun: too large, truncated or late.
 */
export function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Buffer> {
  const length = Number(req.headers["content-length"] ?? 0);
  if (length > options.maxBytes) return Promise.reject(tooLarge());
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => fail(truncated()), options.timeoutMs);
    const fail = (err: RefusalError) => {
      clearTimeout(timer);
      req.removeAllListeners("data");
      req.pause();
      reject(err);
    };
    req.on("data", (part: Buffer) => {
      size += part.length;
      if (size > options.maxBytes) fail(tooLarge());
      else parts.push(part);
    });
    req.once("end", () => {
      clearTimeout(timer);
      resolve(Buffer.concat(parts));
    });
    req.once("aborted", () => fail(truncated()));
    req.once("error", () => fail(truncated()));
  });
}

/**
 * Parses a JSON object.
 * @throws RefusalError with verdict notRun.
 */
export function parseJsonOrThrow(body: Buffer): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(body.toString("utf8"));
    if (value !== null && typeof value === "object" && !Array.isArray(value)) {
      return value as Record<string, unknown>;
    }
  } catch {
    // Answered below like any other body that is not an object.
  }
  throw malformed("Expected a JSON object");
}

/**
 * Checks a parsed body against a schema.
 * @throws RefusalError that names every fault.
 */
export function checkBodyOrThrow<T extends z.ZodType>(
  schema: T,
  body: unknown,
): z.output<T> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const faults = toFaults(parsed.error)
    .map((fault) => `${fault.path || "(body)"}: ${fault.reason}`);
  throw malformed(faults.join("; "));
}

/** Creates the refusal of a malformed request. */
export function malformed(message: string): RefusalError {
  return new RefusalError(RefusalReason.MalformedRequest, Verdict.NotRun, {
    message,
  });
}

function tooLarge(): RefusalError {
  return new RefusalError(RefusalReason.BodyTooLarge, Verdict.NotRun);
}

function truncated(): RefusalError {
  return new RefusalError(RefusalReason.BodyTruncated, Verdict.NotRun);
}

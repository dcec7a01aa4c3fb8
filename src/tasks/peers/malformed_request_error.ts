/** Decoding of the parameters of requests between instances. */
import type * as z from "zod";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { refusalTextOf } from "../../schemas/mod.ts";

/** Refusal of a request whose parameters cannot be decoded; nothing has run. */
export class MalformedRequestError extends RefusalError {
  /** @param cause - Why the schema refused the parameters. */
  constructor(cause: z.ZodError) {
    super(RefusalReason.MalformedRequest, Verdict.NotRun, {
      message: refusalTextOf(cause),
      cause,
    });
  }
}

/**
 * Decodes the parameters of a request.
 * @throws MalformedRequestError if they do not match the schema.
 *
 * @example
 * ```ts
 * handle("permits", (params) => grant(decodeRequest(schema, params)));
 * ```
 */
export function decodeRequest<T>(schema: z.ZodType<T>, params: unknown): T {
  const { success, data, error } = schema.safeParse(params);
  if (success) return data;
  throw new MalformedRequestError(error);
}

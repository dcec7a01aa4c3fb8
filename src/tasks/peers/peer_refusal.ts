/** Errors of requests between instances, and their form in replies. */
import * as z from "zod";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { PeerReply } from "./peer_envelope.ts";

/** Refusal in a reply. */
export type PeerRefusal = NonNullable<PeerReply["refusal"]>;

/** Retry delay of a request without a reply. */
const RETRY_AFTER_MS = 1_000;

/**
 * Creates the error of a request without a reply.
 * @example
 * throw createUnansweredError(Verdict.NotRun);
 */
export function createUnansweredError(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "Another instance did not answer",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/**
 * Encodes an error of a handler; one that is no refusal may have run.
 * @example
 * respond({ channel: "reply", body: { id, refusal: encodeRefusal(err) } });
 */
export function encodeRefusal(err: unknown): PeerRefusal {
  if (!(err instanceof RefusalError)) {
    return {
      reason: RefusalReason.Internal,
      verdict: Verdict.MayHaveRun,
      message: (err as Error).message,
    };
  }
  const { reason, verdict, message, retryAfterMs } = err;
  return { reason, verdict, message, retryAfterMs };
}

/** Schema of a refusal; another build may have other reasons and verdicts. */
const refusalSchema = z.object({
  reason: z.enum(RefusalReason).catch(RefusalReason.ControlUnavailable),
  verdict: z.enum(Verdict).catch(Verdict.MayHaveRun),
  message: z.string().optional().catch(undefined),
  retryAfterMs: z.number().min(0).optional().catch(undefined),
});

/**
 * Decodes the refusal of a reply; a malformed one counts as a lost reply.
 * @example
 * reject(decodeRefusal(reply.refusal));
 */
export function decodeRefusal(refusal: unknown): RefusalError {
  const { data } = refusalSchema.safeParse(refusal);
  if (data === undefined) return createUnansweredError(Verdict.MayHaveRun);
  const { reason, verdict, message, retryAfterMs } = data;
  return new RefusalError(reason, verdict, { message, retryAfterMs });
}

/** Decoding of paces from messages and files, which other builds may write. */
import * as z from "zod";
import { durationMsSchema, incarnationSchema } from "../../schemas/mod.ts";
import type { PaceMessage, StoredPaces } from "../../core/batches/mod.ts";

/** Number of the file's format; files of other formats count as empty. */
export const PACE_FORMAT = 1;

/** Maximum number of records that are decoded from a message or file. */
const MAX_RECORDS = 100_000;

const count = z.number().nonnegative().max(Number.MAX_SAFE_INTEGER);
const promptMean = z.object({ events: count, samples: count });
const knownPaces = {
  targets: z.array(z.object({
    id: z.string(),
    service: z.string(),
    incarnation: incarnationSchema,
    paceMs: durationMsSchema.positive(),
    ageMs: count,
  })).max(MAX_RECORDS),
  services: z.array(z.object({
    service: z.string(),
    completed: count,
    runs: count,
    events: count,
    estimatedEvents: count,
    estimatedTokens: count,
    prompts: z.object({ uncached: promptMean, cached: promptMean }),
    ageMs: count,
  })).max(MAX_RECORDS),
};
const messageSchema = z.object({ term: z.number(), ...knownPaces });
const fileSchema = z.object({
  format: z.literal(PACE_FORMAT),
  savedAt: z.number(),
  ...knownPaces,
});

/**
 * Decodes a message; undefined if it is malformed.
 *
 * @example
 * ```ts
 * decodePaceMessage({ term: 3, targets: [], services: [] })?.term; // 3
 * ```
 */
export function decodePaceMessage(value: unknown): PaceMessage | undefined {
  return messageSchema.safeParse(value).data;
}

/**
 * Decodes a file's content; undefined if it has another format.
 *
 * @example
 * ```ts
 * decodePaceFile({ format: 0 }); // undefined
 * ```
 */
export function decodePaceFile(value: unknown): StoredPaces | undefined {
  return fileSchema.safeParse(value).data;
}

/** Parts of an engine's completion stream that the system reads. */
import * as z from "zod";

/** Schema of the data of one event; other members are ignored. */
export const completionChunkSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }).nullish(),
    text: z.string().nullish(),
    finish_reason: z.string().nullish(),
  })).default([]),
  weight_version: z.number().int().nonnegative().nullish(),
  usage: z.object({ completion_tokens: z.number().nullish() }).nullish(),
  error: z.unknown().optional(),
});

/** Data of one event of an engine's stream. */
export type CompletionChunk = z.output<typeof completionChunkSchema>;

/** Data of the event that marks the end of a stream; it is not JSON. */
export const STREAM_END = "[DONE]";

/** The longest output of an item. */
import type { BatchItem } from "./batch.ts";

/** Longest token with an event of its own, in UTF-16 code units. */
const MAX_TOKEN_LENGTH = 64;
/** Limit for items that ask for few tokens, in UTF-16 code units. */
const MIN_OUTPUT_LENGTH = 65_536;
/** Limit for items that don't say how many tokens they ask for. */
const DEFAULT_OUTPUT_LENGTH = 1_048_576;
/** Limit of any output: a twentieth of the heap of the ledger. */
const MAX_OUTPUT_LENGTH = 8_388_608;

/**
 * Gets the length beyond which an output can't be that of its item, in UTF-16
 * code units; see `RunText.length`.
 *
 * @example
 * ```ts
 * outputLimitOf({ tokens: 8_192 }); // 524288
 * ```
 */
export function outputLimitOf({ tokens }: Pick<BatchItem, "tokens">): number {
  if (tokens === 0) return DEFAULT_OUTPUT_LENGTH;
  const length = Math.max(MIN_OUTPUT_LENGTH, tokens * MAX_TOKEN_LENGTH);
  return Math.min(MAX_OUTPUT_LENGTH, length);
}

/** Texts that are read together, as they follow each other in a file. */
import type { TextLocation } from "../../core/bytes/mod.ts";

/** Part of a file that holds texts, one after the other. */
export interface TextRange {
  readonly file: number;
  readonly offset: number;
  readonly length: number;
  readonly locations: readonly TextLocation[];
}

/**
 * Joins the places of texts that follow each other in a file.
 *
 * @example
 * ```ts
 * joinAdjacent(locations).length; // 1 if each begins where another ends
 * ```
 */
export function joinAdjacent(
  locations: readonly TextLocation[],
): readonly TextRange[] {
  const ranges: (TextRange & { locations: TextLocation[]; length: number })[] =
    [];
  for (const location of locations) {
    const { file, offset, length } = location;
    const last = ranges.at(-1);
    if (last?.file === file && last.offset + last.length === offset) {
      last.locations.push(location);
      last.length += length;
    } else ranges.push({ file, offset, length, locations: [location] });
  }
  return ranges;
}

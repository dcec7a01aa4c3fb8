/** Replacement of the folders of damaged stores. */
import { rename } from "node:fs/promises";
import { DamagedFileError } from "./frame_codec.ts";

/** Options of {@link openOrReplace}. */
export interface OpenOrReplaceOptions<T> {
  readonly folder: string;
  /** Opens the store in the folder; an empty folder becomes a new store. */
  readonly open: () => Promise<T>;
  /** Called when the folder of a damaged store has been renamed. */
  readonly onDamaged?: (detail: string) => void;
}

/**
 * Opens a store. The folder of a damaged one is renamed to `*.damaged-TIME`, and
 * a new store takes its place.
 *
 * @example
 * ```ts
 * const store = await openOrReplace({ folder, open: () => openIn(folder) });
 * ```
 */
export async function openOrReplace<T>(
  { folder, open, onDamaged }: OpenOrReplaceOptions<T>,
): Promise<T> {
  try {
    return await open();
  } catch (err) {
    if (!(err instanceof DamagedFileError)) throw err;
    await rename(folder, `${folder}.damaged-${Date.now()}`);
    onDamaged?.(err.message);
    return await open();
  }
}

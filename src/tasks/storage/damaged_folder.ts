/** Replacement of the folders of damaged stores. */
import { readdir, rename, rm } from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import { DamagedFileError } from "./frame_codec.ts";

const DAMAGED_SUFFIX = ".damaged-";

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
 * a new store takes its place. One such folder is kept, so that they do not fill
 * the disk.
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
    await removeDamaged(folder);
    await rename(folder, `${folder}${DAMAGED_SUFFIX}${Date.now()}`);
    onDamaged?.(err.message);
    return await open();
  }
}

/** Removes the folders of earlier damaged stores. */
async function removeDamaged(folder: string): Promise<void> {
  const parent = dirname(folder);
  const prefix = `${basename(folder)}${DAMAGED_SUFFIX}`;
  for (const name of await readdir(parent)) {
    if (!name.startsWith(prefix)) continue;
    await rm(join(parent, name), { recursive: true });
  }
}

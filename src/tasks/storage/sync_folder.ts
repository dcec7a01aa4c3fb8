/** Durability of the names in a folder. */
import { open } from "node:fs/promises";

/** Waits until the names of a folder's files outlive a power loss. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

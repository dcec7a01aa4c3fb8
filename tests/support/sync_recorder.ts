/** Records which bytes of files are synced, for simulated losses of power. */
import { type FileHandle, open, readlink, stat } from "node:fs/promises";
import { statSync, truncateSync } from "node:fs";
import { vi } from "vitest";

/** Sizes of files up to which they are synced, by path. */
export type SyncedSizes = ReadonlyMap<string, number>;

/** Watches the syncs of all files of this process. */
export class SyncRecorder {
  readonly #sizes = new Map<string, number>();
  readonly #restore: () => void;

  private constructor(prototype: FileHandle) {
    const spies = (["sync", "datasync"] as const).map((name) => {
      const original = prototype[name];
      const sizes = this.#sizes;
      return vi.spyOn(prototype, name).mockImplementation(
        async function (this: FileHandle) {
          const path = await readlink(`/proc/self/fd/${this.fd}`);
          const { size } = await stat(path);
          await original.call(this);
          sizes.set(path, Math.max(size, sizes.get(path) ?? 0));
        },
      );
    });
    this.#restore = () => spies.forEach((spy) => spy.mockRestore());
  }

  /** Starts to record. */
  static async start(): Promise<SyncRecorder> {
    const handle = await open("/proc/self/status");
    const prototype = Object.getPrototypeOf(handle) as FileHandle;
    await handle.close();
    return new SyncRecorder(prototype);
  }

  /** Gets what is synced now. */
  save(): SyncedSizes {
    return new Map(this.#sizes);
  }

  stop(): void {
    this.#restore();
  }
}

/** Removes what was not synced from the files of a folder. */
export function losePower(folder: string, sizes: SyncedSizes): void {
  for (const [path, size] of sizes) {
    if (!path.startsWith(`${folder}/`) || !isFile(path)) continue;
    truncateSync(path, size);
  }
}

function isFile(path: string): boolean {
  return statSync(path, { throwIfNoEntry: false })?.isFile() === true;
}

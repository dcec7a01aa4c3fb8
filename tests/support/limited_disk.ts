/** Disks that take a part of a write, or fail, for the files of this process. */
import { type FileHandle, open, readlink } from "node:fs/promises";
import { vi } from "vitest";

/** Operations of a file that a disk can refuse. */
export type DiskOperation = "write" | "sync" | "datasync" | "truncate";

const OPERATIONS: readonly DiskOperation[] = [
  "write",
  "sync",
  "datasync",
  "truncate",
];

/** Limits what files below a folder take. */
export class LimitedDisk {
  readonly #room = new Map<string, number>();
  readonly #failing = new Map<string, DiskOperation>();
  readonly #restore: () => void;

  private constructor(prototype: FileHandle) {
    const spies = OPERATIONS.map((name) => {
      const original = prototype[name] as (...args: unknown[]) => unknown;
      const onCall = (handle: FileHandle, args: unknown[]) =>
        this.#onCall(handle, { name, args });
      return vi.spyOn(prototype, name).mockImplementation(
        async function (this: FileHandle, ...args: unknown[]) {
          const allowed = await onCall(this, args);
          return await original.call(this, ...allowed);
        } as never,
      );
    });
    this.#restore = () => spies.forEach((spy) => spy.mockRestore());
  }

  /** Starts to watch all files of this process. */
  static async start(): Promise<LimitedDisk> {
    const handle = await open("/proc/self/status");
    const prototype = Object.getPrototypeOf(handle) as FileHandle;
    await handle.close();
    return new LimitedDisk(prototype);
  }

  /** Leaves room for some bytes on the disk of a folder. */
  fill(folder: string, roomBytes: number): void {
    this.#room.set(folder, roomBytes);
  }

  /** Lets an operation fail on the disk of a folder. */
  fail(folder: string, operation: DiskOperation): void {
    this.#failing.set(folder, operation);
  }

  /** Gives the disk of a folder room again. */
  free(folder: string): void {
    this.#room.delete(folder);
    this.#failing.delete(folder);
  }

  stop(): void {
    this.#restore();
  }

  async #onCall(
    handle: FileHandle,
    { name, args }: { name: DiskOperation; args: unknown[] },
  ): Promise<unknown[]> {
    const path = await readlink(`/proc/self/fd/${handle.fd}`);
    const isBelow = (folder: string) => path.startsWith(`${folder}/`);
    const failing = [...this.#failing].find(([folder]) => isBelow(folder));
    if (failing?.[1] === name) throw createError("EIO", name);
    const limited = [...this.#room].find(([folder]) => isBelow(folder));
    if (name !== "write" || limited === undefined) return args;
    const [folder, room] = limited;
    const [bytes, offset, length, position] = args as [
      Uint8Array,
      number,
      number,
      number,
    ];
    if (room === 0) throw createError("ENOSPC", name);
    const taken = Math.min(room, length);
    this.#room.set(folder, room - taken);
    return [bytes, offset, taken, position];
  }
}

function createError(code: string, syscall: string): Error {
  return Object.assign(new Error(`${code}: ${syscall}`), { code, syscall });
}

/** A store of frames in a folder, with one file per generation. */
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
} from "node:fs/promises";
import { join } from "node:path";
import { FrameCodec } from "./frame_codec.ts";

const FILE_PATTERN = /^log-(\d{10})$/;
const GENERATION_DIGITS = 10;

/**
 * Appends frames durably, and replaces all frames atomically.
 *
 * Frames appended in one call share a checksum, so a write torn by a power
 * failure is discarded as a whole, and is always the last one.
 *
 * Both operations resolve once the frames are synced. A replacement is written
 * to a new file and renamed into place, so after a crash either the old frames
 * or the new ones are there.
 *
 * @example
 * ```ts
 * const store = await FrameStore.open<Frame>("data/control");
 * await store.append([frame]);
 * ```
 */
export class FrameStore<F> {
  readonly #folder: string;
  readonly #codec: FrameCodec<readonly F[]>;
  readonly #frames: readonly F[];
  #generation: number;
  #handle: FileHandle;
  #length: number;

  private constructor(parts: {
    folder: string;
    codec: FrameCodec<readonly F[]>;
    frames: readonly F[];
    generation: number;
    handle: FileHandle;
    length: number;
  }) {
    this.#folder = parts.folder;
    this.#codec = parts.codec;
    this.#frames = parts.frames;
    this.#generation = parts.generation;
    this.#handle = parts.handle;
    this.#length = parts.length;
  }

  /** Gets the frames that were in the file when the store was opened. */
  get frames(): readonly F[] {
    return this.#frames;
  }

  /** Gets the length of the current file, in bytes. */
  get length(): number {
    return this.#length;
  }

  /**
   * Opens a folder, creating it if necessary. A torn last write is truncated.
   * @throws DamagedFileError if the file is damaged in another way.
   */
  static async open<F>(folder: string): Promise<FrameStore<F>> {
    await mkdir(folder, { recursive: true });
    const generations = await listGenerations(folder);
    const generation = generations.at(-1) ?? 1;
    const file = getFilePath(folder, generation);
    const codec = new FrameCodec<readonly F[]>();
    const bytes = generations.length === 0
      ? Buffer.alloc(0)
      : await readFile(file);
    const decoded = codec.decode(bytes, file);
    const { length } = decoded;
    const frames = decoded.frames.flat() as F[];
    const handle = await open(file, generations.length === 0 ? "w" : "r+");
    await handle.truncate(length);
    await handle.sync();
    await syncFolder(folder);
    await removeOlderGenerations(folder, generation);
    return new FrameStore({
      folder,
      codec,
      frames,
      generation,
      handle,
      length,
    });
  }

  /** Appends frames with one checksum; resolves once they are synced. */
  async append(frames: readonly F[]): Promise<void> {
    const bytes = this.#codec.encode(frames);
    await this.#handle.write(bytes, 0, bytes.length, this.#length);
    await this.#handle.datasync();
    this.#length += bytes.length;
  }

  /** Replaces all frames atomically; resolves once the new ones are synced. */
  async replace(frames: readonly F[]): Promise<void> {
    const generation = this.#generation + 1;
    const file = getFilePath(this.#folder, generation);
    const bytes = this.#codec.encode(frames);
    const handle = await open(`${file}.new`, "w");
    await handle.write(bytes, 0, bytes.length, 0);
    await handle.sync();
    await rename(`${file}.new`, file);
    await syncFolder(this.#folder);
    await this.#handle.close();
    this.#handle = handle;
    this.#generation = generation;
    this.#length = bytes.length;
    await removeOlderGenerations(this.#folder, generation);
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }
}

async function listGenerations(folder: string): Promise<number[]> {
  const names = await readdir(folder);
  return names
    .map((name) => FILE_PATTERN.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}

function getFilePath(folder: string, generation: number): string {
  const digits = String(generation).padStart(GENERATION_DIGITS, "0");
  return join(folder, `log-${digits}`);
}

async function removeOlderGenerations(
  folder: string,
  generation: number,
): Promise<void> {
  for (const older of await listGenerations(folder)) {
    if (older < generation) await rm(getFilePath(folder, older));
  }
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

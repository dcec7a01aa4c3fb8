/** A store of frames in one folder: one file a generation. */
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
const NUMBER_DIGITS = 10;

/**
 * Appends frames and replaces them all at once.
 *
 * What is appended at once has one checksum, so a write that was torn by a
 * loss of power is left out as a whole, and is always the last one.
 *
 * Both return only once the frames are synced. A replacement is written to a
 * new file that takes the place of the former one by a rename, so a crash
 * leaves the one or the other.
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

  /** Gets the frames that were found when the store was opened. */
  get frames(): readonly F[] {
    return this.#frames;
  }

  /** Gets the length of the current file, in bytes. */
  get length(): number {
    return this.#length;
  }

  /**
   * Opens a folder; a torn last write is cut off.
   * @throws DamagedFileError where the file is damaged otherwise.
   */
  static async open<F>(folder: string): Promise<FrameStore<F>> {
    await mkdir(folder, { recursive: true });
    const generations = await generationsIn(folder);
    const generation = generations.at(-1) ?? 1;
    const file = fileOf(folder, generation);
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
    await removeOlder(folder, generation);
    return new FrameStore({
      folder,
      codec,
      frames,
      generation,
      handle,
      length,
    });
  }

  /** Appends frames under one checksum and syncs them. */
  async append(frames: readonly F[]): Promise<void> {
    const bytes = this.#codec.encode(frames);
    await this.#handle.write(bytes, 0, bytes.length, this.#length);
    await this.#handle.datasync();
    this.#length += bytes.length;
  }

  /** Replaces all frames and syncs the new ones. */
  async replace(frames: readonly F[]): Promise<void> {
    const generation = this.#generation + 1;
    const file = fileOf(this.#folder, generation);
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
    await removeOlder(this.#folder, generation);
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#handle.close();
  }
}

async function generationsIn(folder: string): Promise<number[]> {
  const names = await readdir(folder);
  return names
    .map((name) => FILE_PATTERN.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}

function fileOf(folder: string, generation: number): string {
  const digits = String(generation).padStart(NUMBER_DIGITS, "0");
  return join(folder, `log-${digits}`);
}

async function removeOlder(folder: string, generation: number): Promise<void> {
  for (const older of await generationsIn(folder)) {
    if (older < generation) await rm(fileOf(folder, older));
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

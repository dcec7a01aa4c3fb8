/** A store of frames in a folder, with one file per generation. */
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  rename,
  rm,
} from "node:fs/promises";
import { join } from "node:path";
import { crc32 } from "node:zlib";
import { closeOnError } from "./close_on_error.ts";
import { RECLAIMER } from "../memory/mod.ts";
import { encodeHeader, FrameCodec, HEADER_BYTES } from "./frame_codec.ts";
import { readFrames } from "./frame_file.ts";
import type { TextForms } from "./message_pack_reader.ts";
import { syncFolder } from "./sync_folder.ts";
import { writeFully } from "./write_fully.ts";

const FILE_PATTERN = /^log-(\d{10})$/;
/** Ending of files that are not yet in force. */
const NEW_SUFFIX = ".new";
const GENERATION_DIGITS = 10;

/** A file that is to replace the current one. */
export interface PreparedFile {
  readonly path: string;
  readonly handle: FileHandle;
  /** Length of the file, in bytes. */
  readonly length: number;
}

/** Options of {@link FrameStore.open}. */
export interface FrameStoreOptions<F> {
  /** Called with each frame; by default, the frames are collected. */
  readonly onFrame?: (frame: F) => void;
  /** Forms of texts in the frames; by default, strings. */
  readonly forms?: TextForms | undefined;
}

/** A store and the frames that were in its file when it was opened. */
export interface OpenedFrames<F> {
  readonly store: FrameStore<F>;
  readonly frames: readonly F[];
}

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
 * const { store, frames } = await FrameStore.open<Frame>("data/control");
 * await store.append([frame]);
 * ```
 */
export class FrameStore<F> {
  readonly #folder: string;
  readonly #codec: FrameCodec<readonly F[]>;
  #preparedCount = 0;
  #generation: number;
  #handle: FileHandle;
  #length: number;
  /** Whether bytes of a failed write may follow the frames. */
  #hasRest = false;

  private constructor(parts: {
    folder: string;
    codec: FrameCodec<readonly F[]>;
    generation: number;
    handle: FileHandle;
    length: number;
  }) {
    this.#folder = parts.folder;
    this.#codec = parts.codec;
    this.#generation = parts.generation;
    this.#handle = parts.handle;
    this.#length = parts.length;
  }

  /** Gets the length of the current file, in bytes. */
  get length(): number {
    return this.#length;
  }

  /**
   * Opens a folder, creating it if necessary. A torn last write is truncated.
   * @throws DamagedFileError if the file is damaged in another way.
   */
  static async open<F>(
    folder: string,
    options: FrameStoreOptions<F> = {},
  ): Promise<OpenedFrames<F>> {
    await mkdir(folder, { recursive: true });
    const generations = await listGenerations(folder);
    const generation = generations.at(-1) ?? 1;
    const file = getFilePath(folder, generation);
    const codec = new FrameCodec<readonly F[]>(options.forms);
    const frames: F[] = [];
    const onFrame = options.onFrame ?? ((frame: F) => frames.push(frame));
    const handle = await open(file, generations.length === 0 ? "w" : "r+");
    const length = await closeOnError(handle, async () => {
      const read = await readFrames({
        handle,
        file,
        codec,
        onFrame: (list) => list.forEach((frame) => onFrame(frame)),
      });
      await handle.truncate(read);
      await handle.sync();
      await syncFolder(folder);
      await removeOlderGenerations(folder, generation);
      await removeUnfinished(folder);
      return read;
    });
    const store = new FrameStore<F>({
      folder,
      codec,
      generation,
      handle,
      length,
    });
    return { store, frames };
  }

  /**
   * Appends frames with one checksum; resolves once they are synced. After a
   * failure none of them is in the store, and they can be appended again.
   */
  async append(frames: readonly F[]): Promise<void> {
    const bytes = this.#codec.encode(frames);
    if (this.#hasRest) await this.#handle.truncate(this.#length);
    this.#hasRest = true;
    await writeFully(this.#handle, bytes, this.#length);
    await this.#handle.datasync();
    RECLAIMER.addBuffer(bytes.length);
    this.#hasRest = false;
    this.#length += bytes.length;
  }

  /** Replaces all frames atomically; resolves once the new ones are synced. */
  async replace(frames: readonly F[]): Promise<void> {
    await this.commit(await this.prepare(frames), []);
  }

  /**
   * Writes frames to a new file, which comes into force by
   * {@link FrameStore.commit}. Frames can be appended to the current one
   * meanwhile, and the event loop comes round between the parts of the new ones.
   */
  async prepare(frames: readonly F[]): Promise<PreparedFile> {
    this.#preparedCount += 1;
    const name = `prepared-${this.#preparedCount}${NEW_SUFFIX}`;
    const path = join(this.#folder, name);
    const handle = await open(path, "w");
    let length = HEADER_BYTES;
    let checksum = 0;
    try {
      for (const part of this.#codec.encodeParts(frames)) {
        await writeFully(handle, part, length);
        RECLAIMER.addShortLived(part.length);
        length += part.length;
        checksum = crc32(part, checksum);
      }
      const content = { length: length - HEADER_BYTES, checksum };
      await writeFully(handle, encodeHeader(content), 0);
      await handle.datasync();
    } catch (err) {
      await this.discard({ path, handle, length });
      throw err;
    }
    return { path, handle, length };
  }

  /**
   * Appends frames to a prepared file, and replaces the current one by it;
   * resolves once that is synced. After a failure the current file is as before,
   * and the prepared one is gone.
   */
  async commit(prepared: PreparedFile, frames: readonly F[]): Promise<void> {
    const { path, handle } = prepared;
    let { length } = prepared;
    const generation = this.#generation + 1;
    try {
      length += await this.#appendTo(prepared, frames);
      await handle.sync();
      await rename(path, getFilePath(this.#folder, generation));
    } catch (err) {
      await this.discard(prepared);
      throw err;
    }
    const replaced = this.#handle;
    this.#handle = handle;
    this.#generation = generation;
    this.#length = length;
    this.#hasRest = false;
    await replaced.close();
    await syncFolder(this.#folder);
    await removeOlderGenerations(this.#folder, generation);
  }

  /** Appends frames to a prepared file; gets their size in bytes. */
  async #appendTo(
    { handle, length }: PreparedFile,
    frames: readonly F[],
  ): Promise<number> {
    if (frames.length === 0) return 0;
    const bytes = this.#codec.encode(frames);
    await writeFully(handle, bytes, length);
    return bytes.length;
  }

  /** Removes a prepared file. */
  async discard({ path, handle }: PreparedFile): Promise<void> {
    await handle.close();
    await rm(path, { force: true });
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

/** Removes files that were not renamed into place. */
async function removeUnfinished(folder: string): Promise<void> {
  for (const name of await readdir(folder)) {
    if (name.endsWith(NEW_SUFFIX)) await rm(join(folder, name));
  }
}

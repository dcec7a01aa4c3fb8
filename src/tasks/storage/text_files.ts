/** Files of texts that are written once, in a folder. */
import { type FileHandle, open, readdir, rm, stat } from "node:fs/promises";
import { join } from "node:path";
import { crc32 } from "node:zlib";
import type { TextLocation } from "../../core/bytes/mod.ts";
import { NutmegreelError } from "../../core/errors/mod.ts";
import { joinAdjacent } from "./adjacent_texts.ts";
import { DamagedFileError } from "./frame_codec.ts";
import { readFully } from "./read_fully.ts";
import { syncFolder } from "./sync_folder.ts";
import { writeFully } from "./write_fully.ts";

const FILE_PATTERN = /^texts-(\d{10})$/;
const NUMBER_DIGITS = 10;
/** Size from which a file takes no further texts, in bytes. */
const MAX_FILE_BYTES = 8_388_608;

/** Thrown if a file no longer holds a text as it was written. */
export class DamagedTextError extends NutmegreelError {
  /**
   * @param file - Path of the file.
   * @param offset - Position of the text, in bytes.
   */
  constructor(file: string, offset: number) {
    super("damagedText", `File ${file} holds another text at byte ${offset}`);
  }
}

/** Thrown for a read after the files have been closed. */
export class TextFilesClosedError extends NutmegreelError {
  constructor() {
    super("textFilesClosed", "The files of texts are closed");
  }
}

/** The file that takes texts. */
interface CurrentFile {
  readonly number: number;
  readonly handle: FileHandle;
  /** Length of the texts, in bytes. */
  length: number;
}

/**
 * Appends texts to files and reads them by their place. Files are removed as a
 * whole.
 *
 * @example
 * ```ts
 * const files = await TextFiles.open("data/batches");
 * const [location] = await files.append([Buffer.from("text")]);
 * await files.sync(); // from here on the text outlives a power loss
 * ```
 */
export class TextFiles {
  readonly #folder: string;
  readonly #handles = new Map<number, FileHandle>();
  readonly #unsynced = new Set<FileHandle>();
  #nextNumber: number;
  #current: CurrentFile | undefined;
  #hasNewFile = false;
  #isClosed = false;
  /** Settles once the appends and syncs that were begun have ended. */
  #writes: Promise<unknown> = Promise.resolve();

  private constructor(folder: string, nextNumber: number) {
    this.#folder = folder;
    this.#nextNumber = nextNumber;
  }

  /** Opens the files of an existing folder; texts go to new files. */
  static async open(folder: string): Promise<TextFiles> {
    const numbers = await listNumbers(folder);
    return new TextFiles(folder, Math.max(0, ...numbers) + 1);
  }

  /**
   * Appends texts in UTF-8. After a failure none of them has a place.
   * @returns Their places, in order.
   */
  append(texts: readonly Uint8Array[]): Promise<TextLocation[]> {
    return this.#enqueue(() => this.#append(texts));
  }

  /** Waits until all texts appended before outlive a power loss. */
  sync(): Promise<void> {
    return this.#enqueue(() => this.#sync());
  }

  /**
   * Reads texts.
   * @returns Their UTF-8, in order.
   * @throws DamagedTextError if one of them is not as it was written.
   */
  async read(locations: readonly TextLocation[]): Promise<Uint8Array[]> {
    const texts: Uint8Array[] = [];
    for (const range of joinAdjacent(locations)) {
      const handle = await this.#getHandle(range.file);
      const bytes = await readFully(handle, range.offset, range.length);
      for (const { offset, length, checksum } of range.locations) {
        const start = offset - range.offset;
        const text = bytes?.subarray(start, start + length);
        if (text === undefined || crc32(text) !== checksum) {
          throw new DamagedTextError(this.#getPath(range.file), offset);
        }
        texts.push(text);
      }
    }
    return texts;
  }

  /**
   * Checks that files are there and reach up to the ends of their texts.
   * @param ends - Position after the last text, by file.
   * @throws DamagedFileError if one is not.
   */
  async check(ends: ReadonlyMap<number, number>): Promise<void> {
    for (const [number, end] of ends) {
      const path = this.#getPath(number);
      const size = await getSize(path);
      if (size < end) throw new DamagedFileError(path, size);
    }
  }

  /** Removes the files up to a number that are not among those to be kept. */
  async removeUpTo(last: number, kept: ReadonlySet<number>): Promise<void> {
    for (const number of await listNumbers(this.#folder)) {
      if (number > last || kept.has(number)) continue;
      if (number === this.#current?.number) continue;
      const handle = this.#handles.get(number);
      this.#handles.delete(number);
      await handle?.close();
      await rm(this.#getPath(number), { force: true });
    }
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#writes;
    const handles = [...this.#handles.values()];
    this.#handles.clear();
    this.#unsynced.clear();
    this.#current = undefined;
    for (const handle of handles) await handle.close();
  }

  /** Runs a write once those before it have ended. */
  #enqueue<T>(write: () => Promise<T>): Promise<T> {
    const result = this.#writes.then(write);
    // A failed write concerns its caller alone.
    this.#writes = result.catch(() => {});
    return result;
  }

  async #append(texts: readonly Uint8Array[]): Promise<TextLocation[]> {
    if (texts.length === 0) return [];
    const current = await this.#openCurrent();
    let offset = current.length;
    const locations = texts.map((text) => {
      const { length } = text;
      const location = {
        file: current.number,
        offset,
        length,
        checksum: crc32(text),
      };
      offset += length;
      return location;
    });
    this.#unsynced.add(current.handle);
    await writeFully(current.handle, Buffer.concat(texts), current.length);
    current.length = offset;
    return locations;
  }

  /** Gets the file that takes texts, which is a new one if the last is full. */
  async #openCurrent(): Promise<CurrentFile> {
    const current = this.#current;
    if (current !== undefined && current.length < MAX_FILE_BYTES) {
      return current;
    }
    const number = this.#nextNumber;
    const handle = await open(this.#getPath(number), "w+");
    this.#nextNumber += 1;
    this.#hasNewFile = true;
    this.#handles.set(number, handle);
    this.#current = { number, handle, length: 0 };
    return this.#current;
  }

  async #sync(): Promise<void> {
    for (const handle of this.#unsynced) {
      await handle.datasync();
      this.#unsynced.delete(handle);
    }
    if (!this.#hasNewFile) return;
    await syncFolder(this.#folder);
    this.#hasNewFile = false;
  }

  async #getHandle(number: number): Promise<FileHandle> {
    if (this.#isClosed) throw new TextFilesClosedError();
    const known = this.#handles.get(number);
    if (known !== undefined) return known;
    const handle = await open(this.#getPath(number), "r");
    const opened = this.#handles.get(number);
    if (opened === undefined) {
      this.#handles.set(number, handle);
      return handle;
    }
    await handle.close();
    return opened;
  }

  #getPath(number: number): string {
    const digits = String(number).padStart(NUMBER_DIGITS, "0");
    return join(this.#folder, `texts-${digits}`);
  }
}

async function listNumbers(folder: string): Promise<number[]> {
  const names = await readdir(folder);
  return names
    .map((name) => FILE_PATTERN.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number);
}

/** Gets the size of a file; 0 if it is missing. */
async function getSize(path: string): Promise<number> {
  try {
    return (await stat(path)).size;
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === "ENOENT") return 0;
    throw err;
  }
}

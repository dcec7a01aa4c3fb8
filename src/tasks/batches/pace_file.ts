/** The file in which an instance stores paces. */
import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import type { StoredPaces } from "../../core/batches/mod.ts";
import { FrameCodec } from "../storage/mod.ts";
import { decodePaceFile, PACE_FORMAT } from "./pace_format.ts";

const FILE_NAME = "paces";

/**
 * Reads and replaces the file as a whole, with a checksum.
 *
 * @example
 * ```ts
 * await file.write(memory.save(clock));
 * const stored = await file.read();
 * ```
 */
export class PaceFile {
  readonly #folder: string;
  readonly #codec = new FrameCodec<unknown>();

  /** @param folder - Data folder of the instance. */
  constructor(folder: string) {
    this.#folder = folder;
  }

  /**
   * Reads the file.
   * @returns Undefined if it is missing, damaged or of another format.
   */
  async read(): Promise<StoredPaces | undefined> {
    try {
      const bytes = await readFile(this.#path);
      const { frames } = this.#codec.decode(bytes, this.#path);
      return decodePaceFile(frames[0]);
    } catch {
      return undefined;
    }
  }

  /** Replaces the file; a power failure leaves the old or the new content. */
  async write(stored: StoredPaces): Promise<void> {
    await mkdir(this.#folder, { recursive: true });
    const bytes = this.#codec.encode({ format: PACE_FORMAT, ...stored });
    const handle = await open(`${this.#path}.new`, "w");
    try {
      await handle.writeFile(bytes);
      await handle.datasync();
    } finally {
      await handle.close();
    }
    await rename(`${this.#path}.new`, this.#path);
  }

  get #path(): string {
    return join(this.#folder, FILE_NAME);
  }
}

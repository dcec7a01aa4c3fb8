/** Frames of a store's file: length, checksum, content. */
import { crc32 } from "node:zlib";
import { Packr } from "msgpackr";
import { NutmegreelError } from "../../core/errors/mod.ts";

/** Bytes before the content of a frame: length and checksum. */
const HEADER_BYTES = 8;

/** Represents a file that is damaged other than by a torn last write. */
export class DamagedFileError extends NutmegreelError {
  /**
   * Creates the error.
   * @param file - Path of the file.
   * @param offset - Position of the damaged frame, in bytes.
   */
  constructor(file: string, offset: number) {
    super("damagedFile", `File ${file} is damaged at byte ${offset}`);
  }
}

/** Frames of a file. */
export interface DecodedFrames<F> {
  /** Frames in order. */
  readonly frames: readonly F[];
  /** Length of the whole frames; what follows is a torn write. */
  readonly length: number;
}

/** Encodes and decodes frames. */
export class FrameCodec<F> {
  readonly #packr = new Packr({ useRecords: false });

  /** Gets the bytes of a frame. */
  encode(frame: F): Buffer {
    const content = this.#packr.pack(frame);
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32LE(content.length, 0);
    header.writeUInt32LE(crc32(content), 4);
    return Buffer.concat([header, content]);
  }

  /**
   * Gets the frames of a file.
   *
   * A frame that the file is too short for is a torn write and is left out;
   * a whole frame with a wrong checksum is damage.
   * @throws DamagedFileError where a whole frame is damaged.
   */
  decode(bytes: Buffer, file: string): DecodedFrames<F> {
    const frames: F[] = [];
    let offset = 0;
    while (offset + HEADER_BYTES <= bytes.length) {
      const length = bytes.readUInt32LE(offset);
      const start = offset + HEADER_BYTES;
      const end = start + length;
      if (length === 0 || end > bytes.length) break;
      const content = bytes.subarray(start, end);
      if (crc32(content) !== bytes.readUInt32LE(offset + 4)) {
        throw new DamagedFileError(file, offset);
      }
      frames.push(this.#packr.unpack(content) as F);
      offset = end;
    }
    return { frames, length: offset };
  }
}

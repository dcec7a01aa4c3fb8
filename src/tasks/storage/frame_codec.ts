/** Frames of a store's file: length, checksum, content. */
import { crc32 } from "node:zlib";
import { Packr } from "msgpackr";
import { NutmegreelError } from "../../core/errors/mod.ts";

/** Bytes before the content of a frame: length and checksum. */
const HEADER_BYTES = 8;
const CHECKSUM_OFFSET = 4;

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
    header.writeUInt32LE(crc32(content), CHECKSUM_OFFSET);
    return Buffer.concat([header, content]);
  }

  /**
   * Gets the frames of a file.
   *
   * A frame that the file is too short for is a torn write and is left out, and
   * so is a last frame with a wrong checksum: a write that was not synced may
   * be missing in any part. Before another frame, a wrong checksum is damage.
   * @throws DamagedFileError where a frame is damaged that was synced.
   */
  decode(bytes: Buffer, file: string): DecodedFrames<F> {
    const frames: F[] = [];
    let offset = 0;
    for (;;) {
      const content = readContent(bytes, offset);
      if (content === undefined) break;
      const end = offset + HEADER_BYTES + content.length;
      if (!isSound(bytes, offset, content)) {
        const next = readContent(bytes, end);
        if (next !== undefined && isSound(bytes, end, next)) {
          throw new DamagedFileError(file, offset);
        }
        break;
      }
      frames.push(this.#packr.unpack(content) as F);
      offset = end;
    }
    return { frames, length: offset };
  }
}

/** Gets the content of a frame; undefined where the file is too short. */
function readContent(bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.readUInt32LE(offset);
  const start = offset + HEADER_BYTES;
  if (length === 0 || start + length > bytes.length) return undefined;
  return bytes.subarray(start, start + length);
}

function isSound(bytes: Buffer, offset: number, content: Buffer): boolean {
  return crc32(content) === bytes.readUInt32LE(offset + CHECKSUM_OFFSET);
}

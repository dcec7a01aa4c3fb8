/** Encoding of frames in a file: length, checksum and content. */
import { crc32 } from "node:zlib";
import { MessagePacker } from "../memory/mod.ts";
import { NutmegreelError } from "../../core/errors/mod.ts";
import { MessagePackReader, type TextForms } from "./message_pack_reader.ts";
import { packInParts } from "./packed_parts.ts";

/** Bytes before the content of a frame: length and checksum. */
export const HEADER_BYTES = 8;
const CHECKSUM_OFFSET = 4;

/** Thrown for a file that is damaged other than by a torn last write. */
export class DamagedFileError extends NutmegreelError {
  /**
   * @param file - Path of the file.
   * @param offset - Position of the damaged frame, in bytes.
   */
  constructor(file: string, offset: number) {
    super("damagedFile", `File ${file} is damaged at byte ${offset}`);
  }
}

/** Result of {@link FrameCodec.decode}. */
export interface DecodedFrames<F> {
  /** Frames in order. */
  readonly frames: readonly F[];
  /** Length of the complete frames, in bytes; the remainder is a torn write. */
  readonly length: number;
}

/** Length and checksum of the content of a frame. */
export interface FrameHeader {
  readonly length: number;
  readonly checksum: number;
}

/** Encodes frames as MessagePack with a length and a CRC-32 checksum. */
export class FrameCodec<F> {
  readonly #packer = new MessagePacker({ useRecords: false });
  readonly #forms: TextForms | undefined;

  /** @param forms - Forms of texts in decoded frames; by default, strings. */
  constructor(forms?: TextForms) {
    this.#forms = forms;
  }

  encode(frame: F): Buffer {
    const bytes = this.#packer.pack(frame, HEADER_BYTES);
    const content = bytes.subarray(HEADER_BYTES);
    const { length } = content;
    bytes.set(encodeHeader({ length, checksum: crc32(content) }));
    return bytes;
  }

  /** Encodes the content of a frame in parts that follow its header. */
  encodeParts(frame: F): Iterable<Buffer> {
    return packInParts(this.#packer, frame);
  }

  /** Decodes the content of a frame; undefined if it was not encoded here. */
  decodeContent(content: Buffer): F | undefined {
    try {
      return this.#forms === undefined
        ? this.#packer.unpack(content) as F
        : new MessagePackReader(content, this.#forms).read() as F;
    } catch {
      return undefined;
    }
  }

  /**
   * Decodes the frames of a file.
   *
   * A truncated frame at the end is a torn write and is ignored, and so is a
   * last frame with a wrong checksum, because any part of a write that was not
   * synced may be missing. A wrong checksum before a valid frame is damage.
   * @throws DamagedFileError if a frame that was synced is damaged, or holds what
   *     cannot be decoded.
   */
  decode(bytes: Buffer, file: string): DecodedFrames<F> {
    const frames: F[] = [];
    let offset = 0;
    for (;;) {
      const content = readContent(bytes, offset);
      if (content === undefined) break;
      const end = offset + HEADER_BYTES + content.length;
      if (!isChecksumValid(bytes, offset, content)) {
        const next = readContent(bytes, end);
        if (next !== undefined && isChecksumValid(bytes, end, next)) {
          throw new DamagedFileError(file, offset);
        }
        break;
      }
      const frame = this.decodeContent(content);
      if (frame === undefined) throw new DamagedFileError(file, offset);
      frames.push(frame);
      offset = end;
    }
    return { frames, length: offset };
  }
}

/** Encodes the bytes before the content of a frame. */
export function encodeHeader({ length, checksum }: FrameHeader): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(length, 0);
  header.writeUInt32LE(checksum, CHECKSUM_OFFSET);
  return header;
}

/** Decodes the bytes before the content of a frame. */
export function decodeHeader(header: Buffer): FrameHeader {
  return {
    length: header.readUInt32LE(0),
    checksum: header.readUInt32LE(CHECKSUM_OFFSET),
  };
}

/** Reads the content of a frame; undefined if the file ends before it does. */
function readContent(bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.readUInt32LE(offset);
  const start = offset + HEADER_BYTES;
  if (length === 0 || start + length > bytes.length) return undefined;
  return bytes.subarray(start, start + length);
}

function isChecksumValid(
  bytes: Buffer,
  offset: number,
  content: Buffer,
): boolean {
  return crc32(content) === bytes.readUInt32LE(offset + CHECKSUM_OFFSET);
}

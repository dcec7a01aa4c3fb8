/** Reads the frames of a file one after the other. */
import type { FileHandle } from "node:fs/promises";
import { crc32 } from "node:zlib";
import {
  DamagedFileError,
  decodeHeader,
  type FrameCodec,
  HEADER_BYTES,
} from "./frame_codec.ts";
import { readFully } from "./read_fully.ts";

/** Options of {@link readFrames}. */
export interface ReadFramesOptions<F> {
  readonly handle: FileHandle;
  /** Path of the file. */
  readonly file: string;
  readonly codec: FrameCodec<F>;
  /** Called with each frame. */
  readonly onFrame: (frame: F) => void;
}

/** A frame in a file. */
interface FoundFrame {
  readonly content: Buffer;
  readonly isValid: boolean;
  /** Position after the frame, in bytes. */
  readonly end: number;
}

/**
 * Reads the frames of a file, of which one is in memory at a time.
 *
 * A truncated frame at the end is a torn write and is ignored, and so is a last
 * frame with a wrong checksum, because any part of a write that was not synced
 * may be missing. A wrong checksum before a valid frame is damage.
 * @returns Length of the complete frames, in bytes.
 * @throws DamagedFileError if a frame that was synced is damaged.
 */
export async function readFrames<F>(
  { handle, file, codec, onFrame }: ReadFramesOptions<F>,
): Promise<number> {
  const { size } = await handle.stat();
  let offset = 0;
  for (;;) {
    const found = await readFrame(handle, offset, size);
    if (found === undefined) return offset;
    if (!found.isValid) {
      const next = await readFrame(handle, found.end, size);
      if (next?.isValid === true) throw new DamagedFileError(file, offset);
      return offset;
    }
    const frame = codec.decodeContent(found.content);
    if (frame === undefined) throw new DamagedFileError(file, offset);
    onFrame(frame);
    offset = found.end;
  }
}

/** Reads the frame at a position; undefined if the file ends before it does. */
async function readFrame(
  handle: FileHandle,
  offset: number,
  size: number,
): Promise<FoundFrame | undefined> {
  if (offset + HEADER_BYTES > size) return undefined;
  const header = await readFully(handle, offset, HEADER_BYTES);
  if (header === undefined) return undefined;
  const { length, checksum } = decodeHeader(header);
  const start = offset + HEADER_BYTES;
  if (length === 0 || start + length > size) return undefined;
  const content = await readFully(handle, start, length);
  if (content === undefined) return undefined;
  const isValid = crc32(content) === checksum;
  return { content, isValid, end: start + length };
}

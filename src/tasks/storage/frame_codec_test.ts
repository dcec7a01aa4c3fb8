import { crc32 } from "node:zlib";
import { describe, expect, it } from "vitest";
import { DamagedFileError, FrameCodec } from "./frame_codec.ts";

const HEADER_BYTES = 8;
const ARRAY_OF_ONE = 0x91;
const EMPTY_ARRAY = 0x90;
const ARRAY_OF_TWO = 0x92;

describe(FrameCodec.name, () => {
  /** Creates a frame whose length and checksum are those of its content. */
  function frameOf(content: Buffer): Buffer {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32LE(content.length, 0);
    header.writeUInt32LE(crc32(content), HEADER_BYTES / 2);
    return Buffer.concat([header, content]);
  }

  function nested(depth: number): Buffer {
    const arrays = Buffer.alloc(depth, ARRAY_OF_ONE);
    return Buffer.concat([arrays, Buffer.of(EMPTY_ARRAY)]);
  }

  // Guards against an instance that ends at each start.
  it("counts content as damage that it cannot have written", () => {
    const codec = new FrameCodec();
    const sound = codec.encode([1]);
    for (const content of [nested(50_000), Buffer.of(ARRAY_OF_TWO, 1)]) {
      const bytes = Buffer.concat([sound, frameOf(content), sound]);
      expect(() => codec.decode(bytes, "file")).toThrow(DamagedFileError);
    }
    const bytes = Buffer.concat([sound, sound]);
    expect(codec.decode(bytes, "file").frames).toEqual([[1], [1]]);
  });
});

import { Packr } from "msgpackr";
import { describe, expect, it } from "vitest";
import {
  MessagePackError,
  MessagePackReader,
  type TextForms,
} from "./message_pack_reader.ts";
import { packInParts } from "./packed_parts.ts";

const PLAIN: TextForms = {
  getText: () => undefined,
  getList: () => undefined,
};

describe(MessagePackReader.name, () => {
  const packr = new Packr({ useRecords: false });

  function read(bytes: Buffer, forms = PLAIN) {
    return new MessagePackReader(bytes, forms).read();
  }

  function doTest(value: unknown) {
    const expected = packr.unpack(packr.pack(value));
    expect(read(packr.pack(value))).toEqual(expected);
    const parts = Buffer.concat([...packInParts(packr, value)]);
    expect(packr.unpack(parts)).toEqual(expected);
    expect(read(parts)).toEqual(expected);
  }

  it("reads numbers of all sizes", () => {
    const sizes = [0, 1, 7, 8, 15, 16, 31, 32, 40, 52];
    const positive = sizes.map((bits) => 2 ** bits);
    doTest([...positive, ...positive.map((n) => -n), 0.5, 1e300, -1.25]);
  });

  it("reads texts, bytes and lists of all sizes", () => {
    for (const length of [0, 1, 15, 16, 31, 32, 255, 256, 70_000]) {
      doTest("é".repeat(length));
      doTest(new Uint8Array(length).fill(length));
      doTest(Array.from({ length }, (_, i) => i));
    }
  });

  it("reads maps of all sizes", () => {
    for (const length of [0, 1, 15, 16, 31, 32, 300]) {
      const keys = Array.from({ length }, (_, i) => `key ${i}`);
      doTest(Object.fromEntries(keys.map((key) => [key, key.length])));
    }
  });

  it("reads values without content", () => {
    doTest({ none: undefined, null: null, yes: true, no: false, map: {} });
  });

  it("gives texts their forms by their keys", () => {
    const forms: TextForms = {
      getText: (parent, key) =>
        parent === "result" && key === "text"
          ? (bytes) => bytes.byteLength
          : undefined,
      getList: (_, key) =>
        key === "pieces" ? (texts) => texts.length : undefined,
    };
    const value = {
      text: "a",
      result: [{ text: "abc", headers: { text: "d" } }],
      pieces: ["a", "b"],
    };
    expect(read(packr.pack(value), forms)).toEqual({
      text: "a",
      result: [{ text: 3, headers: { text: "d" } }],
      pieces: 2,
    });
  });

  it("refuses content that is cut, and types that are not written", () => {
    const bytes = packr.pack({ list: [1, "text", new Uint8Array(3)] });
    for (let cut = 1; cut <= bytes.length; cut += 1) {
      const cutBytes = bytes.subarray(0, bytes.length - cut);
      expect(() => read(cutBytes)).toThrow(MessagePackError);
    }
    expect(() => read(Buffer.from([0xc1]))).toThrow(MessagePackError);
  });
});

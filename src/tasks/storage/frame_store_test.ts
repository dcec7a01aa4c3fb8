import { appendFileSync, mkdtempSync, readdirSync } from "node:fs";
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { DamagedFileError } from "./frame_codec.ts";
import { FrameStore } from "./frame_store.ts";

describe(FrameStore.name, () => {
  let folder = "";
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "frames-"));
  });
  afterEach(() => rmSync(folder, { recursive: true }));

  const fileIn = () => join(folder, readdirSync(folder)[0]);

  async function write(...frames: number[]) {
    const { store } = await FrameStore.open<number>(folder);
    for (const frame of frames) await store.append([frame]);
    await store.close();
  }

  async function read() {
    const { store, frames } = await FrameStore.open<number>(folder);
    await store.close();
    return frames;
  }

  it("keeps frames in order", async () => {
    await write(1, 2);
    await write(3);
    expect(await read()).toEqual([1, 2, 3]);
  });

  it("truncates a torn last write and appends after it", async () => {
    await write(1, 2, 3);
    const bytes = readFileSync(fileIn());
    for (let cut = 1; cut <= 8; cut += 1) {
      writeFileSync(fileIn(), bytes.subarray(0, bytes.length - cut));
      expect(await read()).toEqual([1, 2]);
    }
    await write(4);
    expect(await read()).toEqual([1, 2, 4]);
  });

  it("truncates zeros at the end", async () => {
    await write(1);
    appendFileSync(fileIn(), Buffer.alloc(100));
    expect(await read()).toEqual([1]);
  });

  it("rejects a file with a damaged frame before a valid one", async () => {
    await write(1, 2, 3);
    const bytes = readFileSync(fileIn());
    const length = bytes.length / 3;
    for (let position = 0; position < 2 * length; position += 1) {
      if (position % length < 4) continue;
      const damaged = Buffer.from(bytes);
      damaged[position] ^= 1;
      writeFileSync(fileIn(), damaged);
      await expect(read()).rejects.toThrow(DamagedFileError);
    }
  });

  it("discards a last write of which any part is missing", async () => {
    const { store } = await FrameStore.open<number>(folder);
    await store.append([1, 2]);
    const lengthBefore = store.length;
    await store.append([3, 4, 5, 6]);
    await store.close();
    const bytes = readFileSync(fileIn());
    for (let from = lengthBefore; from < bytes.length; from += 1) {
      for (let to = from + 1; to <= bytes.length; to += 1) {
        const torn = Buffer.from(bytes);
        torn.fill(0, from, to);
        if (torn.equals(bytes)) continue;
        writeFileSync(fileIn(), torn);
        expect(await read()).toEqual([1, 2]);
        writeFileSync(fileIn(), bytes);
      }
    }
  });

  it("replaces all frames and keeps only one file", async () => {
    const { store } = await FrameStore.open<number>(folder);
    await store.append([1, 2]);
    await store.replace([9]);
    await store.append([10]);
    await store.close();
    expect(await read()).toEqual([9, 10]);
    expect(readdirSync(folder)).toHaveLength(1);
  });

  it("ignores a replacement that was not renamed into place", async () => {
    await write(1);
    writeFileSync(join(folder, "log-0000000002.new"), "half");
    expect(await read()).toEqual([1]);
  });
});

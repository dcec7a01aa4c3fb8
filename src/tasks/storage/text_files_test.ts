import { readdirSync, statSync, truncateSync, writeFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LimitedDisk } from "../../../tests/support/limited_disk.ts";
import { DamagedFileError } from "./frame_codec.ts";
import {
  DamagedTextError,
  TextFiles,
  TextFilesClosedError,
} from "./text_files.ts";

const TEXTS = ["first", "é second", "third"].map((text) => Buffer.from(text));

describe(TextFiles.name, () => {
  let folder: string;
  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "text-files-"));
  });
  afterEach(() => rm(folder, { recursive: true, force: true }));

  const namesOf = () => readdirSync(folder).sort();

  async function read(
    files: TextFiles,
    locations: Awaited<ReturnType<TextFiles["append"]>>,
  ): Promise<string[]> {
    const texts = await files.read(locations);
    return texts.map((text) => Buffer.from(text).toString());
  }

  it("reads texts in any order, also once it is opened again", async () => {
    const files = await TextFiles.open(folder);
    const [first, second] = await files.append(TEXTS.slice(0, 2));
    const [third] = await files.append(TEXTS.slice(2));
    await files.sync();
    const order = [third, first, second];
    const expected = ["third", "first", "é second"];
    expect(await read(files, order)).toEqual(expected);
    await files.close();
    await expect(files.read(order)).rejects.toThrow(TextFilesClosedError);
    const reopened = await TextFiles.open(folder);
    expect(await read(reopened, order)).toEqual(expected);
    await reopened.append(TEXTS);
    expect(await read(reopened, order)).toEqual(expected);
    expect(namesOf()).toHaveLength(2);
    await reopened.close();
  });

  it("begins a new file once the last one is full", async () => {
    const files = await TextFiles.open(folder);
    const text = Buffer.alloc(5_000_000, "x");
    const locations = [];
    for (let i = 0; i < 4; i += 1) {
      locations.push(...await files.append([text]));
    }
    expect(locations.map(({ file }) => file)).toEqual([1, 1, 2, 2]);
    const [last] = await files.read(locations.slice(-1));
    expect(text.equals(last)).toBe(true);
    await files.close();
  });

  it("finds that a file is missing, too short or changed", async () => {
    const files = await TextFiles.open(folder);
    const locations = await files.append(TEXTS);
    const { offset, length } = locations[2];
    const ends = new Map([[1, offset + length]]);
    await files.check(ends);
    const path = join(folder, namesOf()[0]);
    await expect(files.check(new Map([[2, 1]])))
      .rejects.toThrow(DamagedFileError);
    truncateSync(path, offset + length - 1);
    await expect(files.check(ends)).rejects.toThrow(DamagedFileError);
    await expect(files.read(locations)).rejects.toThrow(DamagedTextError);
    expect(await read(files, locations.slice(0, 2)))
      .toEqual(["first", "é second"]);
    writeFileSync(path, "x".repeat(offset + length));
    await expect(files.read(locations)).rejects.toThrow(DamagedTextError);
    await files.close();
  });

  it("removes files up to a number, but for those that are kept", async () => {
    const files = await TextFiles.open(folder);
    const text = Buffer.alloc(9_000_000, "x");
    for (let i = 0; i < 4; i += 1) await files.append([text]);
    const names = namesOf();
    expect(names).toHaveLength(4);
    await files.removeUpTo(3, new Set([2]));
    expect(namesOf()).toEqual([names[1], names[3]]);
    await files.removeUpTo(Infinity, new Set());
    // The file that takes texts stays.
    expect(namesOf()).toEqual([names[3]]);
    await files.close();
  });

  it("gives the texts of a failed write no place, and goes on after it", async () => {
    const disk = await LimitedDisk.start();
    try {
      const files = await TextFiles.open(folder);
      const [first] = await files.append(TEXTS.slice(0, 1));
      disk.fill(folder, 3);
      await expect(files.append(TEXTS.slice(1))).rejects.toThrow("ENOSPC");
      disk.free(folder);
      const [third] = await files.append(TEXTS.slice(2));
      expect(await read(files, [first, third])).toEqual(["first", "third"]);
      const path = join(folder, namesOf()[0]);
      expect(third.offset).toBe(first.length);
      expect(statSync(path).size).toBeGreaterThanOrEqual(
        third.offset + third.length,
      );
      await files.close();
    } finally {
      disk.stop();
    }
  });
});

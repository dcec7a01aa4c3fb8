import { mkdtempSync, readdirSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  type DiskOperation,
  LimitedDisk,
} from "../../../tests/support/limited_disk.ts";
import { FrameStore } from "./frame_store.ts";

const TEXT = "x".repeat(300);
const LAST = 12;

describe("a store on a disk that fills", () => {
  let folder = "";
  let disk: LimitedDisk;
  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "full-disk-"));
    disk = await LimitedDisk.start();
  });
  afterEach(() => {
    disk.stop();
    rmSync(folder, { recursive: true });
  });

  const frameOf = (number: number) => `${number} ${TEXT}`;

  async function read(): Promise<number[]> {
    const { store, frames } = await FrameStore.open<string>(folder);
    await store.close();
    return frames.map((frame) => Number(frame.split(" ")[0]));
  }

  /**
   * Writes numbered frames, some of them while the disk is full, and expects all
   * that were acknowledged to be read back.
   */
  async function doTest(
    fill: () => void,
    write: (store: FrameStore<string>, frames: string[]) => Promise<void>,
  ) {
    const { store } = await FrameStore.open<string>(folder);
    let acknowledged: number[] = [];
    for (let number = 1; number <= LAST; number += 1) {
      if (number === LAST / 3) fill();
      if (number === 2 * LAST / 3) disk.free(folder);
      const next = [...acknowledged, number];
      const isStored = await write(store, next.map(frameOf))
        .then(() => true, () => false);
      if (isStored) acknowledged = next;
    }
    await store.close();
    expect(acknowledged).toContain(LAST);
    expect(acknowledged.length).toBeLessThan(LAST);
    expect(await read()).toEqual(acknowledged);
    expect(readdirSync(folder)).toHaveLength(1);
  }

  const append = (store: FrameStore<string>, frames: string[]) =>
    store.append(frames.slice(-1));
  const replace = (store: FrameStore<string>, frames: string[]) =>
    store.replace(frames);

  // Guards against frames that are acknowledged though a part of them is missing.
  for (const room of [0, 1, 7, 8, 100, 315, 400, 700]) {
    it(`keeps appended frames with room for ${room} bytes`, () =>
      doTest(() => disk.fill(folder, room), append));
    it(`keeps replaced frames with room for ${room} bytes`, () =>
      doTest(() => disk.fill(folder, room), replace));
  }

  for (const operation of ["write", "datasync"] satisfies DiskOperation[]) {
    it(`keeps appended frames if ${operation} fails`, () =>
      doTest(() => disk.fail(folder, operation), append));
  }
  for (const operation of ["write", "sync"] satisfies DiskOperation[]) {
    it(`keeps replaced frames if ${operation} fails`, () =>
      doTest(() => disk.fail(folder, operation), replace));
  }
});

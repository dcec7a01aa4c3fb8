import { describe, expect, it } from "vitest";
import type { OutputWriter } from "./output_writer.ts";
import { StreamDirectory, type StreamKey } from "./stream_directory.ts";

const WRITER: OutputWriter = { service: "s", software: "v1" };

describe(StreamDirectory.name, () => {
  const key = { workspace: "w", request: "r" };

  function doTest(sought: StreamKey, now: number, expected: boolean) {
    let time = 1;
    const directory = new StreamDirectory({ now: () => time })
      .add({ ...key, writer: WRITER, keepMs: 100 });
    time += now;
    expect(directory.get(sought) !== undefined).toBe(expected);
  }

  it("finds a stream by workspace and request", () => doTest(key, 0, true));

  it("finds no stream of another workspace", () => {
    doTest({ ...key, workspace: "other" }, 0, false);
    doTest({ ...key, workspace: undefined }, 0, false);
  });

  it("finds a stream without a workspace for each caller", () => {
    const directory = new StreamDirectory({ now: () => 1 })
      .add({ ...key, workspace: undefined, writer: WRITER, keepMs: 100 });
    expect(directory.get(key)).toEqual(WRITER);
    expect(directory.getRecord(key)).toBeUndefined();
  });

  it("evicts a stream that its caller can no longer resume", () => {
    doTest(key, 99, true);
    doTest(key, 101, false);
  });

  it("stores a stream longer if it is added again", () => {
    let time = 1;
    const directory = new StreamDirectory({ now: () => time });
    const record = { ...key, writer: WRITER, keepMs: 100 };
    directory.add(record);
    time = 90;
    directory.add(record);
    time = 150;
    expect(directory.get(key)).toEqual(WRITER);
  });

  it("does not know the version of a stream that two versions wrote", () => {
    const newer = { ...WRITER, software: "v2" };
    const directory = new StreamDirectory({ now: () => 1 });
    for (const writer of [WRITER, newer, newer]) {
      directory.add({ ...key, writer, keepMs: 100 });
    }
    expect(directory.get(key)).toEqual({ ...WRITER, software: undefined });
  });

  it("hands on a stream with the time that is left", () => {
    let time = 1;
    const directory = new StreamDirectory({ now: () => time })
      .add({ ...key, writer: WRITER, keepMs: 100 });
    time = 41;
    expect(directory.keys).toEqual([key]);
    expect(directory.getRecord(key))
      .toEqual({ ...key, writer: WRITER, keepMs: 60 });
    time = 141;
    expect(directory.keys).toEqual([]);
    expect(directory.getRecord(key)).toBeUndefined();
  });

  it("is bounded; it evicts the oldest streams first", () => {
    const directory = new StreamDirectory({ now: () => 1 });
    for (let i = 0; i < 50_001; i += 1) {
      const request = `r${i}`;
      directory.add({ ...key, request, writer: WRITER, keepMs: 100 });
    }
    expect(directory.size).toBe(50_000);
    expect(directory.get({ ...key, request: "r0" })).toBeUndefined();
  });
});

import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Logger } from "../../logging/mod.ts";
import { ProcessMarker } from "./process_marker.ts";

describe(ProcessMarker.name, () => {
  let folder = "";
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "marker-"));
  });
  afterEach(() => rmSync(folder, { recursive: true }));

  const before = {
    pid: 2 ** 30,
    startTicks: "1",
    startedAt: "then",
    build: "b",
  };
  const pathOf = () => join(folder, "process.json");

  function create(dataFolder = folder) {
    const stream = new PassThrough();
    const logger = new Logger({ instance: "a", level: "info", stream });
    const settings = { id: "127.0.0.1", peerPort: 1, dataFolder };
    const marker = new ProcessMarker({ settings, logger, build: "now" });
    const events = () =>
      String(stream.read() ?? "").split("\n").filter((line) => line !== "")
        .map((line) => JSON.parse(line));
    return { marker, events };
  }

  function doTest(content: string | undefined, expected: readonly number[]) {
    if (content !== undefined) writeFileSync(pathOf(), content);
    const { marker, events } = create();
    marker.begin();
    const lines = events();
    expect(lines.map(({ event }) => event)).toEqual(expected);
    expect(existsSync(pathOf())).toBe(true);
    marker.end();
    expect(existsSync(pathOf())).toBe(false);
    return lines;
  }

  it("reports nothing at the first start", () => void doTest(undefined, []));

  it("reports the process whose file was left", () => {
    const [line] = doTest(JSON.stringify(before), [1023]);
    expect(line).toMatchObject({ startedAt: "then", build: "b" });
  });

  it("reports a process without a known start", () => {
    const { startTicks: _, ...content } = before;
    doTest(JSON.stringify(content), [1023]);
  });

  it("takes a damaged file for none", () => {
    doTest("", []);
    doTest("{", []);
    doTest("[]", []);
    doTest(JSON.stringify({ ...before, pid: "x".repeat(1_000) }), []);
  });

  it("does not report a process that still runs, and leaves its file", () => {
    const first = create();
    first.marker.begin();
    const second = create();
    second.marker.begin();
    expect(second.events()).toEqual([]);
    const own = { ...before, pid: process.pid, startedAt: "later" };
    writeFileSync(pathOf(), JSON.stringify(own));
    first.marker.end();
    expect(JSON.parse(readFileSync(pathOf(), "utf8"))).toEqual(own);
  });

  it("logs that the file cannot be written", () => {
    const { marker, events } = create("/dev/null/data");
    marker.begin().end();
    expect(events().map(({ event }) => event)).toEqual([1024]);
  });
});

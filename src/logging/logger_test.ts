import { Writable } from "node:stream";
import { describe, expect, it } from "vitest";
import { Logger } from "./logger.ts";

/** Completes no write until it is released, like a pipe without a reader. */
class BlockedStream extends Writable {
  readonly lines: string[] = [];
  #release: (() => void) | undefined;

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.lines.push(chunk.toString());
    this.#release = done;
  }

  /** Completes the pending write and all later ones. */
  release(): void {
    this._write = (chunk: Buffer, _encoding: string, done: () => void) => {
      this.lines.push(chunk.toString());
      done();
    };
    this.#release?.();
  }
}

describe(Logger.name, () => {
  const budget = { linesPerS: 1e9, burst: 1e9 };

  function doTest(lines: number, fieldBytes: number): BlockedStream {
    const stream = new BlockedStream();
    const options = { instance: "a", level: "info", stream, budget } as const;
    const logger = new Logger(options);
    const request = "x".repeat(fieldBytes);
    for (let i = 0; i < lines; i += 1) {
      logger.event("callAnswered", { request });
    }
    return stream;
  }

  it("bounds the buffered bytes if the stream is blocked", () => {
    const stream = doTest(10_000, 1_000);
    expect(stream.writableLength).toBeLessThan(1_100_000);
  });

  it("writes every line if the stream is read", async () => {
    const stream = doTest(100, 10);
    stream.release();
    await new Promise((resolve) => stream.end(resolve));
    expect(stream.lines).toHaveLength(100);
  });

  it("reports the number of dropped lines with a later event", async () => {
    const stream = new BlockedStream();
    const logger = new Logger({
      instance: "a",
      level: "info",
      stream,
      budget: { linesPerS: 0, burst: 2 },
    });
    stream.release();
    const realNow = performance.now.bind(performance);
    for (let i = 0; i < 5; i += 1) logger.event("callAnswered");
    try {
      performance.now = () => realNow() + 6_000;
      logger.event("instanceStopped");
    } finally {
      performance.now = realNow;
    }
    await new Promise((resolve) => stream.end(resolve));
    const parsed = stream.lines.map((line) => JSON.parse(line));
    expect(parsed.map((line) => line.event))
      .toEqual([2101, 2101, 2901, 1003]);
    expect(parsed[2].dropped).toEqual({ callAnswered: 3 });
  });
});

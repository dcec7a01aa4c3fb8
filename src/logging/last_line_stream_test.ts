import { describe, expect, it } from "vitest";
import { LastLineStream } from "./last_line_stream.ts";

describe(LastLineStream.name, () => {
  function doTest(
    take: (descriptor: number, bytes: Uint8Array) => number,
    isWithinLine = false,
  ): Record<number, string> {
    const written: Record<number, string> = { 1: "", 2: "" };
    const stream = new LastLineStream({
      isWithinLine: () => isWithinLine,
      write: (descriptor, bytes) => {
        const count = take(descriptor, bytes);
        written[descriptor] += Buffer.from(bytes.subarray(0, count));
        return count;
      },
    });
    stream.write("last line\n");
    return written;
  }

  function throwError(code: string): never {
    throw Object.assign(new Error(code), { code });
  }

  it("writes to standard output", () =>
    expect(doTest((_, bytes) => bytes.length))
      .toEqual({ 1: "last line\n", 2: "" }));

  it("begins a line of its own", () =>
    expect(doTest((_, bytes) => bytes.length, true)[1])
      .toBe("\nlast line\n"));

  it("writes the rest of a line that was taken in parts", () => {
    let calls = 0;
    const take = () => (calls += 1) % 2 === 0 ? throwError("EAGAIN") : 3;
    expect(doTest((_, bytes) => Math.min(bytes.length, take()))[1])
      .toBe("last line\n");
  });

  it("writes to standard error if standard output is closed or full", () => {
    for (const code of ["EPIPE", "EAGAIN", "ENOSPC"]) {
      const take = (descriptor: number, bytes: Uint8Array) =>
        descriptor === 1 ? throwError(code) : bytes.length;
      expect(doTest(take)[2]).toBe("last line\n");
    }
  });

  it("gives up if neither takes it", () =>
    expect(doTest(() => throwError("EAGAIN"))).toEqual({ 1: "", 2: "" }));
});

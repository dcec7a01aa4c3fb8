import { describe, expect, it, vi } from "vitest";
import { ResumableStream, StreamMismatchError } from "./resumable_stream.ts";

function eventOf(id: number): string {
  return `id: ${id}\ndata: e${id}\n\n`;
}

describe(ResumableStream.name, () => {
  /** Plays the attempts of a stream; gets what its caller receives. */
  async function play(
    attempts: readonly (readonly string[])[],
    options: {
      after?: number;
      isComplete?: boolean;
      onFirstEvent?: () => Promise<void>;
    } = {},
  ): Promise<{ heads: number; text: string; stream: ResumableStream }> {
    let heads = 0;
    let text = "";
    const stream = new ResumableStream({
      sink: {
        onHead: () => void (heads += 1),
        onData: (chunk) => {
          text += Buffer.from(chunk).toString();
          return true;
        },
        drained: () => Promise.resolve(),
      },
      after: options.after,
      onFirstEvent: options.onFirstEvent ?? (() => Promise.resolve()),
    });
    for (const chunks of attempts) {
      stream.beginAttempt().onHead(200, []);
      for (const chunk of chunks) {
        if (!stream.onData(Buffer.from(chunk))) await stream.drained();
      }
    }
    if (options.isComplete !== false) stream.end();
    return { heads, text, stream };
  }

  async function doTest(
    attempts: readonly (readonly string[])[],
    expected: string,
  ) {
    const { heads, text } = await play(attempts);
    expect({ heads, text }).toEqual({ heads: 1, text: expected });
  }

  it("joins whole events under one head", () =>
    doTest(
      [[eventOf(1), "id: 2\nda"], [eventOf(2), eventOf(3)]],
      eventOf(1) + eventOf(2) + eventOf(3),
    ));

  it("passes on what follows the last event of a complete stream", () =>
    doTest([[eventOf(1), ": end"]], `${eventOf(1)}: end`));

  it("names the last event that the caller holds", async () => {
    const incomplete = { isComplete: false };
    const fresh = await play([["id: 1\n"]], incomplete);
    expect(fresh.stream.lastEventId).toBeUndefined();
    const begun = await play([[eventOf(1), "id: 2"]], incomplete);
    expect(begun.stream.lastEventId).toBe(1);
    const taken = await play([[]], { after: 4, ...incomplete });
    expect(taken.stream.lastEventId).toBe(4);
  });

  it("passes on no event before the first one is recorded", async () => {
    let record = () => {};
    const recorded = new Promise<void>((resolve) => {
      record = resolve;
    });
    let isDone = false;
    const played = play([[eventOf(1)]], { onFirstEvent: () => recorded })
      .then(({ text }) => {
        isDone = true;
        return text;
      });
    await new Promise((resolve) => setImmediate(resolve));
    expect(isDone).toBe(false);
    record();
    expect(await played).toBe(eventOf(1));
  });

  it("throws if a target does not go on after the last event", async () => {
    const rejects = (attempts: string[][], after?: number) =>
      expect(play(attempts, { after })).rejects.toThrow(StreamMismatchError);
    await rejects([[eventOf(1)], [eventOf(3)]]);
    await rejects([[eventOf(1)], [eventOf(1)]]);
    await rejects([[eventOf(1)]], 4);
    await rejects([[eventOf(1)], ["event: error\ndata: failed\n\n"]]);
  });

  it("passes on comments where the next event is due", () =>
    doTest(
      [[eventOf(1)], [": ping\n\n", eventOf(2)]],
      [
        eventOf(1),
        ": ping\n\n",
        eventOf(2),
      ].join(""),
    ));

  it("takes a later head only if it is of the same kind", () => {
    const stream = new ResumableStream({
      sink: {
        onHead: () => {},
        onData: () => true,
        drained: () => Promise.resolve(),
      },
      after: undefined,
      onFirstEvent: () => Promise.resolve(),
    });
    const type = "text/event-stream";
    const onHead = (status: number, value: string) =>
      stream.beginAttempt().onHead(status, [["Content-Type", value]]);
    onHead(200, type);
    onHead(200, `${type}; charset=utf-8`);
    expect(() => onHead(200, "application/json")).toThrow(StreamMismatchError);
    expect(() => onHead(404, type)).toThrow(StreamMismatchError);
  });

  it("passes on many small events at once", async () => {
    const onData = vi.fn(() => true);
    const stream = new ResumableStream({
      sink: { onHead: () => {}, onData, drained: () => Promise.resolve() },
      after: undefined,
      onFirstEvent: () => Promise.resolve(),
    });
    stream.beginAttempt().onHead(200, []);
    stream.onData(Buffer.from(eventOf(1)));
    await stream.drained();
    stream.onData(Buffer.from("\n".repeat(65_536)));
    expect(onData).toHaveBeenCalledTimes(2);
    expect(onData).toHaveBeenLastCalledWith(Buffer.from("\n".repeat(65_536)));
  });
});

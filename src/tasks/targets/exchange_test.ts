import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import {
  createTargetConnections,
  Exchange,
  type ExchangeRequest,
  type ExchangeResult,
} from "./exchange.ts";
import { SampleSink } from "./sample_sink.ts";

const CHUNK = {
  choices: [{ delta: { content: "x" }, finish_reason: "stop" }],
  weight_version: 3,
};

function event(change: Record<string, unknown> = {}): string {
  return `data: ${JSON.stringify({ ...CHUNK, ...change })}\n\n`;
}

describe(Exchange.name, () => {
  let server: Server | undefined;
  const connections = createTargetConnections();
  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  async function listen(
    handler: (req: IncomingMessage, res: ServerResponse) => void,
  ): Promise<string> {
    server = createServer(handler);
    await new Promise<void>((resolve) =>
      server?.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    return `http://127.0.0.1:${port}/`;
  }

  async function run(
    url: string,
    change: Partial<ExchangeRequest> = {},
  ): Promise<{ result: ExchangeResult; sink: SampleSink }> {
    const sink = new SampleSink({
      slot: 0,
      targetId: "t",
      now: () => 0,
      maxTextLength: 1_000,
    });
    const exchange = new Exchange({
      url,
      method: "POST",
      headers: {},
      body: Buffer.from("{}"),
      requestId: "own",
      timeoutMs: 2_000,
      signal: new AbortController().signal,
      ...change,
    }, sink);
    return { result: await exchange.run(connections), sink };
  }

  async function doTest(
    handler: (req: IncomingMessage, res: ServerResponse) => void,
    expected: Partial<Extract<ExchangeResult, { type: "failed" }>>,
    change: Partial<ExchangeRequest> = {},
  ) {
    const { result } = await run(await listen(handler), change);
    expect(result).toMatchObject({ type: "failed", ...expected });
  }

  it("collects a complete stream with the versions of its chunks", async () => {
    const url = await listen((_req, res) => {
      res.write(event());
      res.end(event({ weight_version: 4 }) + "data: [DONE]\n\n");
    });
    const { result, sink } = await run(url);
    expect(result.type).toBe("whole");
    expect(sink.toSample()).toMatchObject({ text: "xx", versions: [3, 4] });
  });

  it("reports no versions for a stream if one chunk has none", async () => {
    const url = await listen((_req, res) => {
      res.end(event() + event({ weight_version: null }) + "data: [DONE]\n\n");
    });
    const { sink } = await run(url);
    expect(sink.toSample().versions).toEqual([]);
  });

  it("reports notRun if nothing listens at the address", async () => {
    const url = await listen(() => {});
    await new Promise((resolve) => server?.close(resolve));
    const { result } = await run(url);
    expect(result).toMatchObject({ verdict: "notRun", isBroken: true });
  });

  it("reports notRun if the target refuses the request", () =>
    doTest(
      (_req, res) => res.writeHead(429, { "retry-after": "2" }).end(),
      { reason: "targetRefused", verdict: "notRun", retryAfterMs: 2_000 },
    ));

  it("reports notRun if the target states it in its verdict header", () =>
    doTest(
      (_req, res) =>
        res.writeHead(503, { "x-nutmegreel-verdict": "notRun" }).end(),
      { verdict: "notRun" },
    ));

  it("reports mayHaveRun if the target fails", () =>
    doTest(
      (_req, res) => res.writeHead(503).end(),
      { reason: "targetFailed", verdict: "mayHaveRun" },
    ));

  it("reports mayHaveRun if the connection breaks before a response", () =>
    doTest(
      (req) => req.socket.destroy(),
      { reason: "answerTruncated", verdict: "mayHaveRun", isBroken: true },
    ));

  it("detects a stream without an end marker", () =>
    doTest(
      (_req, res) => res.end(event()),
      { reason: "answerTruncated", verdict: "mayHaveRun" },
    ));

  it("detects a stream that is cut off", () =>
    doTest(
      (_req, res) => {
        res.write(event());
        setTimeout(() => res.destroy(), 20);
      },
      { reason: "answerTruncated", isBroken: true },
    ));

  it("detects chunks after the end marker", () =>
    doTest(
      (_req, res) => res.end(event() + "data: [DONE]\n\n" + event()),
      { reason: "answerTruncated" },
    ));

  it("rejects the response to another request", () =>
    doTest(
      (_req, res) => {
        res.writeHead(200, { "x-request-id": "other" });
        res.end(event() + "data: [DONE]\n\n");
      },
      { reason: "answerCrossed", verdict: "mayHaveRun" },
    ));

  it("fails at the first-token timeout", () =>
    doTest(
      (_req, res) => {
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.write(": keep-alive\n\n");
      },
      { reason: "targetTimeout", verdict: "mayHaveRun" },
      { firstTokenTimeoutMs: 50 },
    ));

  it("aborts when its signal is aborted", async () => {
    const abort = new AbortController();
    const url = await listen(() => abort.abort());
    const { result } = await run(url, { signal: abort.signal });
    expect(result.type).toBe("aborted");
  });
});

/** An engine that costs little, so that an instance can be measured. */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Options of {@link startLightEngine}. */
export interface LightEngineOptions {
  /** Time between two chunks of a stream, in milliseconds; 0 for none. */
  readonly chunkMs: number;
}

/** A started engine. */
export interface LightEngine {
  /** Address. */
  readonly url: string;
  /** Stops listening. */
  readonly stop: () => void;
}

const WHOLE = JSON.stringify({
  object: "chat.completion",
  choices: [{ index: 0, message: { role: "assistant", content: "x" } }],
  usage: { completion_tokens: 1 },
});

function chunk(isLast: boolean): string {
  const body = {
    choices: [{
      index: 0,
      delta: { content: "word " },
      finish_reason: isLast ? "stop" : null,
    }],
    weight_version: 1,
  };
  return `data: ${JSON.stringify(body)}\n\n`;
}

const MIDDLE = chunk(false);
const LAST = chunk(true);

/** Starts an engine for every path; `/health` answers probes. */
export async function startLightEngine(
  options: LightEngineOptions,
): Promise<LightEngine> {
  const server = createServer((req, res) => {
    if (req.url?.startsWith("/health")) {
      res.end('{"incarnation":"1","running":0,"waiting":0,"weightVersion":1}');
      return;
    }
    const parts: Buffer[] = [];
    req.on("data", (part) => parts.push(part));
    req.on("end", () => {
      const ask = JSON.parse(Buffer.concat(parts).toString() || "{}");
      if (ask.stream === true) stream(res, ask.max_tokens ?? 16, options);
      else {res.writeHead(200, { "content-type": "application/json" }).end(
          WHOLE,
        );}
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function stream(
  res: ServerResponse,
  tokens: number,
  options: LightEngineOptions,
): void {
  res.writeHead(200, { "content-type": "text/event-stream" });
  let left = tokens;
  const next = () => {
    if (res.destroyed) return;
    left -= 1;
    res.write(left > 0 ? MIDDLE : LAST);
    if (left > 0) {
      if (options.chunkMs > 0) setTimeout(next, options.chunkMs);
      else setImmediate(next);
      return;
    }
    res.end("data: [DONE]\n\n");
  };
  next();
}

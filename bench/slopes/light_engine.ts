/** Minimal fake engine, so cheap that it does not disturb measurements. */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Options of {@link startLightEngine}. */
export interface LightEngineOptions {
  /** Delay between two chunks of a stream, in milliseconds; 0 for none. */
  readonly chunkMs: number;
}

/** A running engine. */
export interface LightEngine {
  readonly url: string;
  /** Closes all connections and stops listening. */
  readonly stop: () => void;
}

const COMPLETION = JSON.stringify({
  object: "chat.completion",
  choices: [{ index: 0, message: { role: "assistant", content: "x" } }],
  usage: { completion_tokens: 1 },
});

function encodeChunk(isLast: boolean): string {
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

const MIDDLE_CHUNK = encodeChunk(false);
const LAST_CHUNK = encodeChunk(true);

/**
 * Starts an engine on loopback. `/health` answers probes; every other path
 * generates tokens.
 */
export async function startLightEngine(
  options: LightEngineOptions,
): Promise<LightEngine> {
  const server = createServer((req, res) => {
    if (req.url?.startsWith("/health")) {
      res.end('{"incarnation":"1","running":0,"waiting":0,"weightVersion":1}');
      return;
    }
    const chunks: Buffer[] = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      const requestBody = JSON.parse(Buffer.concat(chunks).toString() || "{}");
      if (requestBody.stream === true) {
        stream(res, requestBody.max_tokens ?? 16, options);
      } else {
        res.writeHead(200, { "content-type": "application/json" }).end(
          COMPLETION,
        );
      }
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
  let remainingTokens = tokens;
  const sendNext = () => {
    if (res.destroyed) return;
    remainingTokens -= 1;
    res.write(remainingTokens > 0 ? MIDDLE_CHUNK : LAST_CHUNK);
    if (remainingTokens > 0) {
      if (options.chunkMs > 0) setTimeout(sendNext, options.chunkMs);
      else setImmediate(sendNext);
      return;
    }
    res.end("data: [DONE]\n\n");
  };
  sendNext();
}

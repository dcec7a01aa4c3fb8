/** A stand-in for a model engine with continuous batching. */
import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Options of {@link FakeEngine}. */
export interface FakeEngineOptions {
  /** Identifier. */
  readonly id: string;
  /** Models that it serves. */
  readonly pools: readonly string[];
  /** Zone in which it runs. */
  readonly zone: string;
  /** Port; any free one where 0. */
  readonly port?: number;
  /** Time to generate a token, in milliseconds. */
  readonly msPerToken?: number;
  /** Tokens of an answer where the request names no number. */
  readonly tokens?: number;
  /** Version of the weights at the start. */
  readonly weightVersion?: number;
  /** Requests that run at once; others wait inside. */
  readonly maxRunning?: number;
  /** Whether versions are reported. */
  readonly reportsVersions?: boolean;
  /** Instances to which it announces itself. */
  readonly announceTo?: readonly string[];
  /** Token for announcements. */
  readonly token?: string;
  /** Text in a prompt that crashes the process. */
  readonly poison?: string;
  /** Text in a prompt whose first answer is delayed by this time. */
  readonly delayMs?: number;
}

interface Ask {
  readonly prompt: string;
  readonly tokens: number;
  readonly isStream: boolean;
  readonly delayMs: number;
}

const ANNOUNCE_INTERVAL_MS = 1_000;
const DEFAULT_MS_PER_TOKEN = 5;
const DEFAULT_TOKENS = 16;
const DEFAULT_MAX_RUNNING = 64;

/** Serves chat completions and reports its weight version chunk by chunk. */
export class FakeEngine {
  readonly #options: FakeEngineOptions;
  readonly #incarnation = randomUUID();
  readonly #server: Server;
  #weightVersion: number;
  #running = 0;
  #served = 0;
  #announceTimer: NodeJS.Timeout | undefined;
  readonly #waiting: (() => void)[] = [];
  /** Authorization headers seen, for tests. */
  readonly seenAuthorization: string[] = [];

  /** Creates an engine; it does not listen yet. */
  constructor(options: FakeEngineOptions) {
    this.#options = options;
    this.#weightVersion = options.weightVersion ?? 1;
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  /** Gets the number of requests answered whole. */
  get served(): number {
    return this.#served;
  }

  /** Gets the requests that run now. */
  get running(): number {
    return this.#running;
  }

  /** Listens and gets the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(this.#options.port ?? 0, "127.0.0.1", resolve)
    );
    await this.#announce();
    this.#announceTimer = setInterval(
      () => this.#announce().catch(() => {}),
      ANNOUNCE_INTERVAL_MS,
    );
    return this.url;
  }

  /** Gets the address. */
  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Gets the version of the loaded weights. */
  get weightVersion(): number {
    return this.#weightVersion;
  }

  /** Loads weights. */
  setWeightVersion(version: number): this {
    this.#weightVersion = version;
    return this;
  }

  /** Ends at once, as in a crash. */
  stop(): void {
    clearInterval(this.#announceTimer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #announce(): Promise<void> {
    const { id, pools, zone, announceTo = [], token } = this.#options;
    const body = JSON.stringify({
      id,
      incarnation: this.#incarnation,
      url: this.url,
      pools,
      zone,
      weightVersion: this.#weightVersion,
    });
    const headers: Record<string, string> = {
      "content-type": "application/json",
    };
    if (token !== undefined) headers.authorization = `Bearer ${token}`;
    for (const instance of announceTo) {
      await fetch(`${instance}/targets/announce`, {
        method: "POST",
        headers,
        body,
      }).then((res) => res.arrayBuffer()).catch(() => {});
    }
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = (req.url ?? "").split("?")[0];
    if (path === "/health") return this.#health(res);
    const body = await readAll(req);
    if (path === "/weights") return this.#loadWeights(body, res);
    if (path.startsWith("/v1/")) {
      this.seenAuthorization.push(req.headers.authorization ?? "");
      return await this.#complete(req, res, body);
    }
    res.writeHead(404).end();
  }

  #health(res: ServerResponse): void {
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({
      incarnation: this.#incarnation,
      running: this.#running,
      waiting: this.#waiting.length,
      weightVersion: this.#weightVersion,
    }));
  }

  #loadWeights(body: string, res: ServerResponse): void {
    this.#weightVersion = JSON.parse(body).version;
    res.writeHead(200).end("{}");
  }

  async #complete(
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
  ): Promise<void> {
    const ask = askOf(body, this.#options);
    if (ask === undefined) {
      res.writeHead(400, { "content-type": "application/json" });
      res.end('{"error":{"message":"Malformed request"}}');
      return;
    }
    const { poison } = this.#options;
    if (poison !== undefined && ask.prompt.includes(poison)) process.exit(9);
    const requestId = String(req.headers["x-request-id"] ?? "");
    await this.#acquire();
    try {
      if (ask.delayMs > 0) await sleep(ask.delayMs);
      if (ask.isStream) await this.#stream(ask, res, requestId);
      else await this.#whole(ask, res, requestId);
      this.#served += 1;
    } finally {
      this.#release();
    }
  }

  async #stream(
    ask: Ask,
    res: ServerResponse,
    requestId: string,
  ): Promise<void> {
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": requestId,
    });
    for (let i = 0; i < ask.tokens; i += 1) {
      await sleep(this.#msPerToken());
      if (res.destroyed) return;
      const finish = i === ask.tokens - 1 ? "stop" : null;
      res.write(this.#chunk({ content: `t${i} `, finish }));
    }
    const usage = { completion_tokens: ask.tokens };
    res.write(`data: ${JSON.stringify({ choices: [], usage })}\n\n`);
    res.end("data: [DONE]\n\n");
  }

  #chunk(part: { content: string; finish: string | null }): string {
    const versions = this.#options.reportsVersions ?? true;
    const chunk = {
      object: "chat.completion.chunk",
      choices: [{
        index: 0,
        delta: { content: part.content },
        finish_reason: part.finish,
      }],
      ...(versions ? { weight_version: this.#weightVersion } : {}),
    };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  }

  async #whole(
    ask: Ask,
    res: ServerResponse,
    requestId: string,
  ): Promise<void> {
    await sleep(this.#msPerToken() * ask.tokens);
    const content = Array.from({ length: ask.tokens }, (_, i) => `t${i}`);
    res.writeHead(200, {
      "content-type": "application/json",
      "x-request-id": requestId,
    });
    res.end(JSON.stringify({
      object: "chat.completion",
      choices: [{
        index: 0,
        message: { role: "assistant", content: content.join(" ") },
        finish_reason: "stop",
      }],
      usage: { completion_tokens: ask.tokens },
      weight_version: this.#weightVersion,
    }));
  }

  #msPerToken(): number {
    const base = this.#options.msPerToken ?? DEFAULT_MS_PER_TOKEN;
    return base * (1 + this.#running / DEFAULT_MAX_RUNNING);
  }

  async #acquire(): Promise<void> {
    const max = this.#options.maxRunning ?? DEFAULT_MAX_RUNNING;
    if (this.#running >= max) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.#running += 1;
  }

  #release(): void {
    this.#running -= 1;
    this.#waiting.shift()?.();
  }
}

function askOf(body: string, options: FakeEngineOptions): Ask | undefined {
  try {
    const json = JSON.parse(body);
    const prompt = JSON.stringify(json.messages ?? json.prompt);
    if (prompt === undefined) return undefined;
    const isDelayed = prompt.includes("[delay]");
    return {
      prompt,
      tokens: json.max_tokens ?? options.tokens ?? DEFAULT_TOKENS,
      isStream: json.stream === true,
      delayMs: isDelayed ? options.delayMs ?? 0 : 0,
    };
  } catch {
    return undefined;
  }
}

/** Reads a whole body as text. */
export async function readAll(req: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of req) parts.push(part as Buffer);
  return Buffer.concat(parts).toString("utf8");
}

/** Waits for a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Fake model engine with continuous batching. */
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
  /** Identifier of the target. */
  readonly id: string;
  /** Pools that it serves. */
  readonly pools: readonly string[];
  /** Zone in which it runs. */
  readonly zone: string;
  /** Port on 127.0.0.1; a free one where absent or 0. */
  readonly port?: number;
  /** Time per token on an idle engine, in milliseconds. */
  readonly msPerToken?: number;
  /** Number of tokens of a response without `max_tokens` in the request. */
  readonly tokens?: number;
  /** Initial version of the weights; 1 where absent. */
  readonly weightVersion?: number;
  /** Maximum number of concurrent requests; further ones are queued. */
  readonly maxRunning?: number;
  /** Whether streamed chunks report the weight version; true where absent. */
  readonly reportsVersions?: boolean;
  /** Base URLs of the instances to which it announces itself. */
  readonly announceTo?: readonly string[];
  /** Bearer token for announcements. */
  readonly token?: string;
  /** Text in a prompt on which the process exits with code 9. */
  readonly poison?: string;
  /** Delay of requests whose prompt contains `[delay]`, in milliseconds. */
  readonly delayMs?: number;
}

interface CompletionRequest {
  readonly prompt: string;
  readonly tokens: number;
  readonly isStream: boolean;
  readonly delayMs: number;
}

const ANNOUNCE_INTERVAL_MS = 1_000;
const DEFAULT_MS_PER_TOKEN = 5;
const DEFAULT_TOKENS = 16;
const DEFAULT_MAX_RUNNING = 64;

/**
 * Serves completions whose text is `t0 t1 ...`, and reports the weight version
 * in each chunk. Generation slows down as more requests run.
 */
export class FakeEngine {
  readonly #options: FakeEngineOptions;
  readonly #incarnation = randomUUID();
  readonly #server: Server;
  #weightVersion: number;
  #running = 0;
  #served = 0;
  #announceTimer: NodeJS.Timeout | undefined;
  readonly #waiting: (() => void)[] = [];
  /** Authorization headers of all completion requests; empty where absent. */
  readonly seenAuthorization: string[] = [];

  /** Creates an engine; {@link FakeEngine.start} makes it listen. */
  constructor(options: FakeEngineOptions) {
    this.#options = options;
    this.#weightVersion = options.weightVersion ?? 1;
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  /** Gets the number of finished completion requests. */
  get served(): number {
    return this.#served;
  }

  /** Gets the number of running requests. */
  get running(): number {
    return this.#running;
  }

  /** Starts to listen, announces the engine every second, and gets its URL. */
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

  /** Gets the base URL. */
  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Gets the version of the loaded weights. */
  get weightVersion(): number {
    return this.#weightVersion;
  }

  /** Sets the version of the loaded weights at once. */
  setWeightVersion(version: number): this {
    this.#weightVersion = version;
    return this;
  }

  /** Closes all connections at once, as in a crash. */
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
    if (path === "/health") return this.#respondHealth(res);
    const body = await readBody(req);
    if (path === "/weights") return this.#loadWeights(body, res);
    if (path.startsWith("/v1/")) {
      this.seenAuthorization.push(req.headers.authorization ?? "");
      return await this.#handleCompletion(req, res, body);
    }
    res.writeHead(404).end();
  }

  #respondHealth(res: ServerResponse): void {
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

  async #handleCompletion(
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
  ): Promise<void> {
    const request = parseCompletionRequest(body, this.#options);
    if (request === undefined) {
      res.writeHead(400, { "content-type": "application/json" });
      res.end('{"error":{"message":"Malformed request"}}');
      return;
    }
    const { poison } = this.#options;
    if (poison !== undefined && request.prompt.includes(poison)) {
      process.exit(9);
    }
    const requestId = String(req.headers["x-request-id"] ?? "");
    await this.#acquireSlot();
    try {
      if (request.delayMs > 0) await sleep(request.delayMs);
      if (request.isStream) await this.#stream(request, res, requestId);
      else await this.#respond(request, res, requestId);
      this.#served += 1;
    } finally {
      this.#releaseSlot();
    }
  }

  async #stream(
    request: CompletionRequest,
    res: ServerResponse,
    requestId: string,
  ): Promise<void> {
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": requestId,
    });
    for (let i = 0; i < request.tokens; i += 1) {
      await sleep(this.#msPerToken());
      if (res.destroyed) return;
      const finish = i === request.tokens - 1 ? "stop" : null;
      res.write(this.#chunk({ content: `t${i} `, finish }));
    }
    const usage = { completion_tokens: request.tokens };
    res.write(`data: ${JSON.stringify({ choices: [], usage })}\n\n`);
    res.end("data: [DONE]\n\n");
  }

  #chunk(part: { content: string; finish: string | null }): string {
    const reportsVersions = this.#options.reportsVersions ?? true;
    const chunk = {
      object: "chat.completion.chunk",
      choices: [{
        index: 0,
        delta: { content: part.content },
        finish_reason: part.finish,
      }],
      ...(reportsVersions ? { weight_version: this.#weightVersion } : {}),
    };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  }

  async #respond(
    request: CompletionRequest,
    res: ServerResponse,
    requestId: string,
  ): Promise<void> {
    await sleep(this.#msPerToken() * request.tokens);
    const content = Array.from({ length: request.tokens }, (_, i) => `t${i}`);
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
      usage: { completion_tokens: request.tokens },
      weight_version: this.#weightVersion,
    }));
  }

  #msPerToken(): number {
    const base = this.#options.msPerToken ?? DEFAULT_MS_PER_TOKEN;
    return base * (1 + this.#running / DEFAULT_MAX_RUNNING);
  }

  async #acquireSlot(): Promise<void> {
    const max = this.#options.maxRunning ?? DEFAULT_MAX_RUNNING;
    if (this.#running >= max) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.#running += 1;
  }

  #releaseSlot(): void {
    this.#running -= 1;
    this.#waiting.shift()?.();
  }
}

function parseCompletionRequest(
  body: string,
  options: FakeEngineOptions,
): CompletionRequest | undefined {
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

/** Reads the body of a request as text. */
export async function readBody(req: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of req) parts.push(part as Buffer);
  return Buffer.concat(parts).toString("utf8");
}

/** Waits for a number of milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Fake platform that receives orders and usage reports. */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { readBody } from "./engine.ts";

/** Options of {@link FakePlatform}. */
export interface FakePlatformOptions {
  /** Whether a message with a lower term than an earlier one is refused. */
  readonly checksFencing: boolean;
  /** Fraction of responses lost after the message is recorded, from 0 to 1. */
  readonly responseLoss?: number;
}

/** A message that the platform accepted. */
export interface ReceivedMessage {
  /** Path of the request. */
  readonly path: string;
  /** Identifier of the order or usage window. */
  readonly id: string;
  /** Body as text. */
  readonly body: string;
  /** Control term of the sender. */
  readonly term: number;
  /** Time of receipt, in milliseconds since the epoch. */
  readonly at: number;
}

/** Records messages, and drops every n-th response where configured. */
export class FakePlatform {
  readonly #options: FakePlatformOptions;
  readonly #server: Server;
  readonly #acceptedIds = new Set<string>();
  #highestTerm = 0;
  #responseCount = 0;
  /** Accepted messages with repetitions, in order of receipt. */
  readonly receivedMessages: ReceivedMessage[] = [];

  /** Creates a platform; {@link FakePlatform.start} makes it listen. */
  constructor(options: FakePlatformOptions) {
    this.#options = options;
    this.#server = createServer((req, res) => {
      this.#handle(req)
        .then(({ status, isLost }) => {
          if (isLost) res.destroy();
          else res.writeHead(status).end("{}");
        })
        .catch(() => res.destroy());
    });
  }

  /** Starts to listen and gets the base URL. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(
    req: IncomingMessage,
  ): Promise<{ status: number; isLost: boolean }> {
    const path = req.url ?? "/";
    if (req.method === "GET") {
      const id = decodeURIComponent(path.split("/").at(-1) ?? "");
      return { status: this.#acceptedIds.has(id) ? 200 : 404, isLost: false };
    }
    const body = await readBody(req);
    const term = Number(req.headers["x-fencing-term"]);
    const { checksFencing, responseLoss = 0 } = this.#options;
    if (checksFencing && term < this.#highestTerm) {
      return { status: 409, isLost: false };
    }
    this.#highestTerm = Math.max(this.#highestTerm, term);
    const { id } = JSON.parse(body);
    this.receivedMessages.push({ path, id, body, term, at: Date.now() });
    this.#acceptedIds.add(id);
    this.#responseCount += 1;
    const lossInterval = responseLoss > 0
      ? Math.round(1 / responseLoss)
      : Infinity;
    return { status: 200, isLost: this.#responseCount % lossInterval === 0 };
  }
}

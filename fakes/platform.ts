/** A stand-in for the platform: takes orders and usage reports. */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { readAll } from "./engine.ts";

/** Options of {@link FakePlatform}. */
export interface FakePlatformOptions {
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing: boolean;
  /** Part of answers that is lost after the order was taken, from 0 to 1. */
  readonly answerLoss?: number;
}

/** A message that the platform has taken. */
export interface Receipt {
  /** Path of the receiver. */
  readonly path: string;
  /** Identifier. */
  readonly id: string;
  /** Bytes of the body. */
  readonly body: string;
  /** Term of the sender. */
  readonly term: number;
  /** Time of the receipt, in milliseconds since the epoch. */
  readonly at: number;
}

/** Records what it is sent. */
export class FakePlatform {
  readonly #options: FakePlatformOptions;
  readonly #server: Server;
  readonly #taken = new Set<string>();
  #highestTerm = 0;
  #answers = 0;
  /** Everything received, in order. */
  readonly receipts: Receipt[] = [];

  /** Creates a platform that does not listen yet. */
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

  /** Listens and gets the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Stops listening. */
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
      return { status: this.#taken.has(id) ? 200 : 404, isLost: false };
    }
    const body = await readAll(req);
    const term = Number(req.headers["x-fencing-term"]);
    const { checksFencing, answerLoss = 0 } = this.#options;
    if (checksFencing && term < this.#highestTerm) {
      return { status: 409, isLost: false };
    }
    this.#highestTerm = Math.max(this.#highestTerm, term);
    const { id } = JSON.parse(body);
    this.receipts.push({ path, id, body, term, at: Date.now() });
    this.#taken.add(id);
    this.#answers += 1;
    const every = answerLoss > 0 ? Math.round(1 / answerLoss) : Infinity;
    return { status: 200, isLost: this.#answers % every === 0 };
  }
}

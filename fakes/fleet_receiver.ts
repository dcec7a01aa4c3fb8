/** A stand-in for the platform's receiver of usage and orders. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** A call that the receiver took. */
export interface ReceivedCall {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  /** What the call is about: fencing tokens are compared within it. */
  readonly subject: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly at: number;
}

const OK_STATUS = 200;
const FENCED_STATUS = 409;

/** Takes reports and orders, and refuses those of former holders. */
export class FleetReceiver {
  /** Calls that were accepted, in order. */
  readonly accepted: ReceivedCall[] = [];
  readonly #fences = new Map<string, number>();
  readonly #server: Server = createServer(async (req, res) => {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const call: ReceivedCall = {
      path: req.url ?? "",
      holder: String(req.headers["duty-holder"]),
      fence: Number(req.headers["fence-token"]),
      subject: subjectOf(req.url ?? "", body),
      body,
      at: Date.now(),
    };
    res.writeHead(this.#take(call) ? OK_STATUS : FENCED_STATUS).end();
  });

  /** Gets its address. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Begins to listen. */
  async start(): Promise<this> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return this;
  }

  /** Takes no more calls. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #take(call: ReceivedCall): boolean {
    const fence = this.#fences.get(call.subject) ?? 0;
    if (call.fence < fence) return false;
    this.#fences.set(call.subject, call.fence);
    this.accepted.push(call);
    return true;
  }
}

function subjectOf(
  path: string,
  body: Readonly<Record<string, unknown>>,
): string {
  return path === "/usage" ? path : `${path} ${body.service} ${body.zone}`;
}

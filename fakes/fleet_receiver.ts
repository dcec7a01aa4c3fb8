/** Fake receiver of usage reports and orders on the platform. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** A call to the receiver. */
export interface ReceivedCall {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  /** Scope of the fencing token: usage, or a service in a zone. */
  readonly subject: string;
  readonly body: Readonly<Record<string, unknown>>;
  /** Time of receipt, in milliseconds since the epoch. */
  readonly at: number;
}

const OK_STATUS = 200;
const FENCED_STATUS = 409;

/**
 * Records reports and orders, and refuses those with a lower fencing token if
 * it checks them.
 */
export class FleetReceiver {
  /** Whether fencing tokens are checked. */
  isFencingEnabled = true;
  /** Accepted calls, in order of receipt. */
  readonly accepted: ReceivedCall[] = [];
  readonly #highestFences = new Map<string, number>();
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
    res.writeHead(this.#accept(call) ? OK_STATUS : FENCED_STATUS).end();
  });

  /** Gets the host and port. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Starts to listen. */
  async start(): Promise<this> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return this;
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #accept(call: ReceivedCall): boolean {
    const fence = this.#highestFences.get(call.subject) ?? 0;
    if (this.isFencingEnabled && call.fence < fence) return false;
    this.#highestFences.set(call.subject, call.fence);
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

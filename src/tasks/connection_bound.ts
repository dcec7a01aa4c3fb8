/** Bound of the connections of a server. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Metrics } from "../metrics/mod.ts";

/** Options of {@link ConnectionBound}. */
export interface ConnectionBoundOptions {
  readonly server: Server;
  readonly maxConnections: number;
  readonly metrics: Pick<Metrics, "count">;
}

/** What a connection is used for; one with a lower rank is closed first. */
const Use = {
  /** It has sent no request. */
  Unused: 0,
  /** It has sent a part of a request. */
  Sending: 1,
  /** It waits for its next request. */
  Kept: 2,
  /** It waits for a response. */
  Served: 3,
} as const;

type Use = typeof Use[keyof typeof Use];

/** An open connection. */
interface Connection {
  readonly open: Set<IncomingMessage>;
  hasSent: boolean;
}

/**
 * Closes a connection for each new one beyond the bound: the oldest that has not
 * sent a request, then one that has sent a part of it, then one that is kept for
 * the next one. Where all wait for responses, the new one is closed.
 *
 * @example
 * ```ts
 * new ConnectionBound({ server, maxConnections: 1_000, metrics });
 * ```
 */
export class ConnectionBound {
  readonly #options: ConnectionBoundOptions;
  /** In the order in which they were last used. */
  readonly #connections = new Map<Socket, Connection>();

  /** Watches the connections of a server from now on. */
  constructor(options: ConnectionBoundOptions) {
    this.#options = options;
    const { server } = options;
    const onRequest = (req: IncomingMessage, res: ServerResponse) =>
      this.#onRequest(req, res);
    server.on("connection", (socket) => this.#onConnection(socket));
    server.prependListener("request", onRequest);
    server.prependListener("checkContinue", onRequest);
  }

  #onConnection(socket: Socket): void {
    const { maxConnections, metrics } = this.#options;
    if (this.#connections.size >= maxConnections) {
      metrics.count("connections.displaced");
      const victim = this.#findVictim();
      (victim ?? socket).destroy();
      if (victim === undefined) return;
      this.#connections.delete(victim);
    }
    this.#connections.set(socket, { open: new Set(), hasSent: false });
    socket.once("close", () => this.#connections.delete(socket));
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.open.add(req);
    connection.hasSent = true;
    res.once("close", () => {
      connection.open.delete(req);
      if (!this.#connections.delete(socket) || socket.destroyed) return;
      this.#connections.set(socket, connection);
    });
  }

  #findVictim(): Socket | undefined {
    let victim: Socket | undefined;
    let lowest: Use = Use.Served;
    for (const [socket, connection] of this.#connections) {
      const use = getUse(connection);
      if (use >= lowest) continue;
      victim = socket;
      lowest = use;
      if (use === Use.Unused) break;
    }
    return victim;
  }
}

function getUse({ open, hasSent }: Connection): Use {
  if (!hasSent) return Use.Unused;
  if (open.size === 0) return Use.Kept;
  const isSending = [...open].every((req) => !req.complete);
  return isSending ? Use.Sending : Use.Served;
}

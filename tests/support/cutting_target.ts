/** Stand-in for targets whose responses stop at any byte. */
import { createServer, type Server, type Socket } from "node:net";
import type { ConnectionEnd } from "./received_response.ts";
import { listen } from "./target_requests.ts";
import { isStateRequest, STATE_RESPONSE } from "./target_state.ts";

/** What a target sends to a request, and what it does after that. */
export interface CutResponse {
  readonly bytes: Buffer;
  readonly end: ConnectionEnd;
}

/** Time after which bytes on a loopback connection have been read. */
const READ_MS = 5;
/** Callers of the dispatcher may name the case as a trace. */
const ID_HEADER = /\r\n(?:case|traceparent): (\S+)\r\n/i;
const HEAD_END = "\r\n\r\n";

/**
 * Answers each request with the next response of its case, which a header
 * names, and requests for its state with the state.
 */
export class CuttingTarget {
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #responses = new Map<string, CutResponse[]>();

  /** Starts to listen at one more address, and gets it. */
  start(): Promise<string> {
    const server = createServer((socket) => this.#onConnection(socket));
    this.#servers.push(server);
    return listen(server);
  }

  /** Sets the responses to the requests of a case, in order. */
  script(name: string, responses: readonly CutResponse[]): this {
    this.#responses.set(name, [...responses]);
    return this;
  }

  stop(): void {
    for (const server of this.#servers) server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #onConnection(socket: Socket): void {
    socket.setNoDelay(true);
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("data", (data) => {
      if (isStateRequest(data)) {
        socket.write(STATE_RESPONSE);
        return;
      }
      const text = data.toString("latin1");
      const name = ID_HEADER.exec(text)?.[1] ?? "";
      if (!text.includes(HEAD_END)) return;
      const response = this.#responses.get(name)?.shift();
      if (response === undefined) socket.resetAndDestroy();
      else respond(socket, response);
    });
  }
}

function respond(socket: Socket, { bytes, end }: CutResponse): void {
  if (end === "closed") {
    socket.end(bytes);
    return;
  }
  const reset = () => socket.resetAndDestroy();
  socket.write(bytes, () => {
    if (end !== "reset") return;
    // A reset may arrive with the last bytes, or after they have been read.
    if (bytes.length % 2 === 0) reset();
    else setTimeout(reset, READ_MS);
  });
}

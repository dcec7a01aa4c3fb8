/** Sockets of others on the addresses of a machine. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** An address to hold. */
export interface HeldAddress {
  readonly host: string;
  readonly port: number;
}

/** Holds addresses until released. */
export class PortHolder {
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();

  /** Listens on an address; connections are kept without an answer. */
  async listen({ host, port }: HeldAddress): Promise<this> {
    const server = createServer((socket) => this.#keep(socket));
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    return this;
  }

  /** Takes an address as the local end of an outgoing connection. */
  async connectFrom({ host, port }: HeldAddress): Promise<this> {
    const server = createServer((socket) => this.#keep(socket));
    this.#servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    const { port: otherPort } = server.address() as AddressInfo;
    const socket = this.#keep(connect({
      host,
      port: otherPort,
      localAddress: host,
      localPort: port,
    }));
    await new Promise<void>((resolve, reject) =>
      socket.once("connect", resolve).once("error", reject)
    );
    return this;
  }

  /** Frees all addresses. */
  async release(): Promise<void> {
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await Promise.all(
      this.#servers.splice(0).map((server) =>
        new Promise<void>((resolve) => server.close(() => resolve()))
      ),
    );
  }

  #keep(socket: Socket): Socket {
    this.#sockets.add(socket);
    return socket.on("error", () => {})
      .on("close", () => this.#sockets.delete(socket));
  }
}

/** A small TCP relay for each direction between two instances. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Relays connections, and cuts them on request. */
export class LinkCutter {
  readonly #servers = new Map<string, Server>();
  readonly #ports = new Map<string, number>();
  readonly #sockets = new Map<string, Set<Socket>>();
  readonly #cuts = new Set<string>();

  /** Opens a relay for each ordered pair of instances, on their address. */
  async open(host: string, ports: ReadonlyMap<string, number>): Promise<void> {
    for (const from of ports.keys()) {
      for (const [to, port] of ports) {
        if (from === to) continue;
        await this.#openOne(`${from}>${to}`, { host, port });
      }
    }
  }

  /** Gets the port by which one instance reaches another. */
  portOf(from: string, to: string): number | undefined {
    return this.#ports.get(`${from}>${to}`);
  }

  /** Cuts both directions between an instance and others. */
  cut(id: string, others: readonly string[]): void {
    for (const other of others) {
      for (const name of [`${id}>${other}`, `${other}>${id}`]) {
        this.#cuts.add(name);
        for (const socket of this.#sockets.get(name) ?? []) socket.destroy();
      }
    }
  }

  /** Mends all links. */
  mend(): void {
    this.#cuts.clear();
  }

  /** Closes all relays. */
  close(): void {
    for (const server of this.#servers.values()) server.close();
    for (const sockets of this.#sockets.values()) {
      for (const socket of sockets) socket.destroy();
    }
  }

  async #openOne(
    name: string,
    target: { readonly host: string; readonly port: number },
  ): Promise<void> {
    const { host, port } = target;
    const sockets = new Set<Socket>();
    this.#sockets.set(name, sockets);
    const server = createServer((near) => {
      if (this.#cuts.has(name)) {
        near.destroy();
        return;
      }
      const far = connect(port, host);
      for (const socket of [near, far]) {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => {});
        socket.on("close", () => {
          sockets.delete(socket);
          near.destroy();
          far.destroy();
        });
      }
      near.pipe(far).pipe(near);
    });
    this.#servers.set(name, server);
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    this.#ports.set(name, (server.address() as AddressInfo).port);
  }
}

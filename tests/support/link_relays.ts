/** TCP relays for the links between instances, one for each direction. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Forwards connections, and simulates network partitions on request. */
export class LinkRelays {
  readonly #servers = new Map<string, Server>();
  readonly #ports = new Map<string, number>();
  readonly #sockets = new Map<string, Set<Socket>>();
  readonly #cuts = new Set<string>();

  /**
   * Opens a relay for each ordered pair of instances.
   * @param host - Address of all instances and relays.
   * @param ports - Port of each instance.
   */
  async open(host: string, ports: ReadonlyMap<string, number>): Promise<void> {
    for (const from of ports.keys()) {
      for (const [to, port] of ports) {
        if (from === to) continue;
        await this.#openRelay(`${from}>${to}`, { host, port });
      }
    }
  }

  /** Gets the relay port by which one instance reaches another. */
  portOf(from: string, to: string): number | undefined {
    return this.#ports.get(`${from}>${to}`);
  }

  /** Cuts both directions between an instance and others at once. */
  cut(id: string, others: readonly string[]): void {
    for (const other of others) {
      for (const name of [`${id}>${other}`, `${other}>${id}`]) {
        this.#cuts.add(name);
        for (const socket of this.#sockets.get(name) ?? []) socket.destroy();
      }
    }
  }

  /** Restores all cut links; later connections pass. */
  heal(): void {
    this.#cuts.clear();
  }

  /** Closes all relays and their connections. */
  close(): void {
    for (const server of this.#servers.values()) server.close();
    for (const sockets of this.#sockets.values()) {
      for (const socket of sockets) socket.destroy();
    }
  }

  async #openRelay(
    name: string,
    target: { readonly host: string; readonly port: number },
  ): Promise<void> {
    const { host, port } = target;
    const sockets = new Set<Socket>();
    this.#sockets.set(name, sockets);
    const server = createServer((inbound) => {
      if (this.#cuts.has(name)) {
        inbound.destroy();
        return;
      }
      const outbound = connect(port, host);
      for (const socket of [inbound, outbound]) {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => {});
        socket.on("close", () => {
          sockets.delete(socket);
          inbound.destroy();
          outbound.destroy();
        });
      }
      inbound.pipe(outbound).pipe(inbound);
    });
    this.#servers.set(name, server);
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    this.#ports.set(name, (server.address() as AddressInfo).port);
  }
}

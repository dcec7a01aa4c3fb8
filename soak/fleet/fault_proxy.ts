/** Loopback proxy that injects faults into the connections to an instance. */
import {
  type AddressInfo,
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Fault that a proxy injects. */
export const LinkState = {
  /** No fault. */
  Clear: "clear",
  /** Every chunk is delayed. */
  Delayed: "delayed",
  /** Data from the instance is held back; data to the instance passes. */
  OneWay: "oneWay",
  /** All data is held back; connections stay open. */
  Silent: "silent",
} as const;

/** One of the values of {@link LinkState}. */
export type LinkState = typeof LinkState[keyof typeof LinkState];

/** Options of {@link FaultProxy}. */
export interface FaultProxyOptions {
  /** Address of the proxy and the instance. */
  readonly host: string;
  /** Port on which the proxy listens; 0 for any. */
  readonly port: number;
  /** Port of the instance. */
  readonly targetPort: number;
}

const DELAY_MS = 120;

/** Forwards connections and injects faults on request. */
export class FaultProxy {
  readonly #options: FaultProxyOptions;
  readonly #server: Server;
  readonly #pairs = new Set<readonly [Socket, Socket]>();
  #state: LinkState = LinkState.Clear;
  readonly #heldWrites: (() => void)[] = [];

  /** Creates a proxy; {@link FaultProxy.start} makes it listen. */
  constructor(options: FaultProxyOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#onConnection(socket));
  }

  /** Starts to listen. */
  async start(): Promise<this> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve) =>
      this.#server.listen(port, host, resolve)
    );
    return this;
  }

  /** Gets the port on which the proxy listens. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Sets the fault for open and new connections.
   *
   * Held data is sent once the state is `clear` or `delayed`.
   */
  setState(state: LinkState): void {
    this.#state = state;
    if (state === LinkState.Silent || state === LinkState.OneWay) return;
    for (const release of this.#heldWrites.splice(0)) release();
  }

  /** Resets every connection with a TCP RST. */
  reset(): void {
    for (const [a, b] of this.#pairs) {
      a.resetAndDestroy();
      b.resetAndDestroy();
    }
  }

  /** Closes the proxy and resets every connection. */
  stop(): void {
    this.#server.close();
    this.reset();
  }

  #onConnection(caller: Socket): void {
    const { host, targetPort } = this.#options;
    const instance = createConnection({ host, port: targetPort });
    const pair = [caller, instance] as const;
    this.#pairs.add(pair);
    const end = () => {
      this.#pairs.delete(pair);
      caller.destroy();
      instance.destroy();
    };
    for (const socket of pair) {
      socket.on("error", () => {
        for (const either of pair) either.resetAndDestroy();
      });
      socket.on("close", end);
    }
    caller.on("data", (chunk) => this.#forwardChunk(instance, chunk, false));
    instance.on("data", (chunk) => this.#forwardChunk(caller, chunk, true));
  }

  #forwardChunk(to: Socket, chunk: Buffer, isResponse: boolean): void {
    const write = () => {
      if (!to.destroyed) to.write(chunk);
    };
    const isHeld = this.#state === LinkState.Silent ||
      (this.#state === LinkState.OneWay && isResponse) ||
      this.#heldWrites.length > 0;
    if (isHeld) this.#heldWrites.push(write);
    else if (this.#state === LinkState.Delayed) setTimeout(write, DELAY_MS);
    else write();
  }
}

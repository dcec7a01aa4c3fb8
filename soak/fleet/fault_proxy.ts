/** A loopback proxy that harms the connections to one instance. */
import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** How a proxy treats what passes. */
export const LinkState = {
  /** Everything passes at once. */
  Clear: "clear",
  /** Everything passes late. */
  Delayed: "delayed",
  /** What comes back is kept; what goes to the instance passes. */
  OneWay: "oneWay",
  /** Nothing passes and nothing ends. */
  Silent: "silent",
} as const;

/** One of the values of {@link LinkState}. */
export type LinkState = typeof LinkState[keyof typeof LinkState];

/** Addresses of {@link FaultProxy}. */
export interface FaultProxyOptions {
  readonly host: string;
  /** Port that others dial. */
  readonly port: number;
  /** Port on which the instance listens. */
  readonly targetPort: number;
}

const DELAY_MS = 120;

/** Forwards connections, and harms them on request. */
export class FaultProxy {
  readonly #options: FaultProxyOptions;
  readonly #server: Server;
  readonly #pairs = new Set<readonly [Socket, Socket]>();
  #state: LinkState = LinkState.Clear;
  readonly #held: (() => void)[] = [];

  /** Creates a proxy that does not listen yet. */
  constructor(options: FaultProxyOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#forward(socket));
  }

  /** Begins to listen. */
  async start(): Promise<this> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve) =>
      this.#server.listen(port, host, resolve)
    );
    return this;
  }

  /** Treats what passes from now on in another way. */
  set(state: LinkState): void {
    this.#state = state;
    if (state === LinkState.Silent || state === LinkState.OneWay) return;
    for (const release of this.#held.splice(0)) release();
  }

  /** Resets every connection. */
  reset(): void {
    for (const [a, b] of this.#pairs) {
      a.resetAndDestroy();
      b.resetAndDestroy();
    }
  }

  /** Ends everything. */
  stop(): void {
    this.#server.close();
    this.reset();
  }

  #forward(caller: Socket): void {
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
      socket.on("error", end);
      socket.on("close", end);
    }
    caller.on("data", (chunk) => this.#pass(instance, chunk, false));
    instance.on("data", (chunk) => this.#pass(caller, chunk, true));
  }

  #pass(to: Socket, chunk: Buffer, isBack: boolean): void {
    const write = () => {
      if (!to.destroyed) to.write(chunk);
    };
    const isHeld = this.#state === LinkState.Silent ||
      (this.#state === LinkState.OneWay && isBack) || this.#held.length > 0;
    if (isHeld) this.#held.push(write);
    else if (this.#state === LinkState.Delayed) setTimeout(write, DELAY_MS);
    else write();
  }
}

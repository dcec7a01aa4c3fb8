/** A single connection to a target. */
import type { Duplex } from "node:stream";
import { buildConnector, Client } from "undici";
import { resetConnection, type ResettableSocket } from "./connection_reset.ts";
import { ConnectionState } from "./connection_state.ts";

/** Options of {@link TargetConnection}. */
export interface TargetConnectionOptions {
  /** Address of the target: host and port. */
  readonly address: string;
  /** Whether the target speaks TLS. */
  readonly isSecure: boolean;
  /** Idle time after which the connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Opens the connection. */
  readonly open: () => Promise<ResettableSocket>;
}

type ConnectCallback = Parameters<buildConnector.connector>[1];
type ClientSocket = Parameters<ConnectCallback>[1];

const startTls = buildConnector({});

/** Carries one request at a time; it is opened for the first one. */
export class TargetConnection {
  readonly address: string;
  readonly client: Client;
  readonly #options: TargetConnectionOptions;
  #socket: ResettableSocket | undefined;
  #isKept = false;
  #isComplete = false;
  /** Removes the listener of the request in progress. */
  #stopListening: () => void = () => {};

  constructor(options: TargetConnectionOptions) {
    const { address, isSecure, idleTimeoutMs } = options;
    this.#options = options;
    this.address = address;
    this.client = new Client(`${isSecure ? "https" : "http"}://${address}`, {
      pipelining: 1,
      connect: (target, callback) => this.#connect(target, callback),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
    });
  }

  /** Gets how far the connection has come. */
  get state(): ConnectionState {
    if (this.#socket === undefined) return ConnectionState.Opening;
    return this.#isKept ? ConnectionState.Kept : ConnectionState.New;
  }

  /**
   * Resets the connection as soon as a signal aborts, until it is released. Must
   * be called before the request is sent with the same signal, which would close
   * the connection: what the network has held up of the request until then would
   * still reach the target, however late.
   */
  resetOnAbort(signal: AbortSignal): void {
    const onAbort = () => this.#reset();
    signal.addEventListener("abort", onAbort, { once: true });
    this.#stopListening = () => signal.removeEventListener("abort", onAbort);
  }

  /** Records that the response of the request in progress was read completely. */
  markComplete(): this {
    this.#isComplete = true;
    return this;
  }

  /**
   * Ends the request in progress.
   * @returns Whether the connection may carry another one.
   */
  release(): boolean {
    this.#stopListening();
    const isReusable = this.#isComplete && !this.client.destroyed;
    this.#isComplete = false;
    this.#isKept = this.#socket !== undefined;
    return isReusable;
  }

  /** Closes the connection with a reset. */
  destroy(): void {
    this.#stopListening();
    this.#reset();
    this.close();
  }

  /** Closes an idle connection; errors while doing so are ignored. */
  close(): void {
    this.client.destroy().catch(() => {});
  }

  #connect(
    target: buildConnector.Options,
    callback: ConnectCallback,
  ): void {
    this.#options.open().then(
      (socket) => {
        this.#setSocket(socket);
        // The client uses no more of a socket than a duplex stream has.
        const httpSocket = socket as Duplex as NonNullable<ClientSocket>;
        if (this.#options.isSecure) {
          startTls({ ...target, httpSocket }, callback);
        } else callback(null, httpSocket);
      },
      (err) => callback(err, null),
    );
  }

  #setSocket(socket: ResettableSocket): void {
    this.#socket = socket;
    this.#isKept = false;
    socket.once("close", () => {
      if (this.#socket === socket) this.#socket = undefined;
    });
  }

  #reset(): void {
    if (this.#socket !== undefined) resetConnection(this.#socket);
  }
}

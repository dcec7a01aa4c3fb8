/** A single connection to a target. */
import type { Duplex } from "node:stream";
import { buildConnector, Client, type Dispatcher } from "undici";
import { Path } from "../../core/paths/mod.ts";
import { resetConnection, type ResettableSocket } from "./connection_reset.ts";
import { ConnectionState } from "./connection_state.ts";
import type { OpenedConnection } from "./path_race.ts";
import { guardAgainstResets } from "./reset_guard.ts";
import { guardStatus } from "./status_guard.ts";
import { ReadResumer } from "./read_resumer.ts";
import { ResponseMeter } from "./response_meter.ts";

/** Options of {@link TargetConnection}. */
export interface TargetConnectionOptions {
  /** Address of the target: host and port. */
  readonly address: string;
  /** Whether the target speaks TLS. */
  readonly isSecure: boolean;
  /** Idle time after which the connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Opens the connection. */
  readonly open: () => Promise<Pick<OpenedConnection, "socket" | "path">>;
}

/** Time after a response for which its connection counts as alive. */
const LIVE_MS = 1_000;

type ConnectCallback = Parameters<buildConnector.connector>[1];
type ClientSocket = Parameters<ConnectCallback>[1];

const startTls = buildConnector({});

/** Carries one request at a time; it is opened for the first one. */
export class TargetConnection {
  readonly address: string;
  readonly client: Dispatcher.ComposedDispatcher;
  readonly #client: Client;
  readonly #options: TargetConnectionOptions;
  readonly #resumer = new ReadResumer();
  readonly #meter = new ResponseMeter((err) => this.#reset(err));
  #socket: ResettableSocket | undefined;
  #path: Path = Path.Direct;
  #incarnation: number | undefined;
  #isKept = false;
  #isReset = false;
  /** Whether the target has closed its side of the connection. */
  #isClosed = false;
  /** Bytes of requests that were not sent when the target closed its side. */
  #unsentBytes = 0;
  #isComplete = false;
  #completedAt = -Infinity;
  #isIdle = true;
  /** Removes the listener of the request in progress. */
  #stopListening: () => void = () => {};

  constructor(options: TargetConnectionOptions) {
    const { address, isSecure, idleTimeoutMs } = options;
    this.#options = options;
    this.address = address;
    this.#client = new Client(`${isSecure ? "https" : "http"}://${address}`, {
      pipelining: 1,
      connect: (target, callback) => this.#connect(target, callback),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
    });
    this.client = this.#client
      .compose(this.#resumer.interceptor)
      .compose(this.#meter.interceptor)
      .compose(guardAgainstResets({
        isReset: () => this.#isReset,
        isClosed: () => this.#isClosed,
        hasUnsent: () => this.#unsentBytes > 0,
      }))
      .compose(guardStatus);
  }

  /** Gets how far the connection has come. */
  get state(): ConnectionState {
    if (this.#socket === undefined) return ConnectionState.Opening;
    return this.#isKept ? ConnectionState.Kept : ConnectionState.New;
  }

  /**
   * Gets the incarnation that the process at the other end has named; undefined
   * if it has not, also after the connection was opened again.
   */
  get incarnation(): number | undefined {
    return this.#incarnation;
  }

  /** Sets the incarnation that the process at the other end has named. */
  setIncarnation(incarnation: number | undefined): this {
    this.#incarnation = incarnation;
    return this;
  }

  /** Gets the path by which the connection was opened. */
  get path(): Path {
    return this.#path;
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

  /** Reserves the connection for a request, for which it may be opened again. */
  reserve(): this {
    this.#isIdle = false;
    this.#meter.restart();
    if (this.#socket?.destroyed !== false) this.#incarnation = undefined;
    return this;
  }

  /** Records that the response of the request in progress was read completely. */
  markComplete(): this {
    this.#isComplete = true;
    this.#completedAt = performance.now();
    return this;
  }

  /**
   * Gets whether the connection was alive a short time ago, or is opened anew for
   * the next request.
   */
  get isLive(): boolean {
    return this.#socket === undefined ||
      performance.now() - this.#completedAt < LIVE_MS;
  }

  /** Gets whether the connection, while idle, may carry another request. */
  get isReusable(): boolean {
    return !this.#client.destroyed && this.#socket?.isDraining !== true;
  }

  /**
   * Ends the request in progress.
   * @returns Whether the connection may carry another one.
   */
  release(): boolean {
    this.#stopListening();
    this.#isIdle = true;
    this.#meter.restart();
    const isReusable = this.#isComplete && this.isReusable;
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
    this.#client.destroy().catch(() => {});
  }

  #connect(
    target: buildConnector.Options,
    callback: ConnectCallback,
  ): void {
    this.#options.open().then(
      ({ socket, path }) => {
        this.#setSocket(socket, path);
        // The client uses no more of a socket than a duplex stream has.
        const httpSocket = socket as Duplex as NonNullable<ClientSocket>;
        if (this.#options.isSecure) {
          startTls(
            { ...target, httpSocket },
            (...result) => this.#onConnected(callback, result),
          );
        } else this.#onConnected(callback, [null, httpSocket]);
      },
      (err) => callback(err, null),
    );
  }

  #onConnected(
    callback: ConnectCallback,
    result: Parameters<ConnectCallback>,
  ): void {
    const [, socket] = result;
    if (socket !== null) {
      this.#meter.watch(socket);
      this.#resumer.watch(socket);
    }
    callback(...result);
  }

  #setSocket(socket: ResettableSocket, path: Path): void {
    this.#socket = socket;
    this.#path = path;
    this.#incarnation = undefined;
    this.#isKept = false;
    this.#isReset = false;
    this.#isClosed = false;
    this.#unsentBytes = 0;
    socket.prependOnceListener("end", () => {
      if (this.#socket !== socket) return;
      this.#isClosed = true;
      this.#unsentBytes = socket.writableLength;
    });
    socket.on("error", () => {
      if (this.#socket === socket) this.#isReset = true;
    });
    socket.once("draining", () => {
      if (this.#isIdle) this.close();
    });
    socket.once("close", () => {
      if (this.#socket === socket) this.#socket = undefined;
    });
  }

  #reset(err?: Error): void {
    if (this.#socket !== undefined) resetConnection(this.#socket, err);
  }
}

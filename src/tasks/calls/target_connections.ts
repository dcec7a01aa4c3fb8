/** Connection pools for targets; requests are never pipelined. */
import type { Socket } from "node:net";
import { type buildConnector, Client } from "undici";
import { createTargetConnector, resetConnection } from "../target_connector.ts";
import { ConnectionState } from "./target_port.ts";

/** Options of {@link TargetConnections}. */
export interface TargetConnectionsOptions {
  /** Connect timeout, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

interface ConnectionPool {
  readonly idle: Client[];
  open: number;
}

/** Thrown if all allowed connections to a target are in use. */
export class ConnectionsExhaustedError extends Error {
  constructor(address: string) {
    super(`All connections to ${address} are in use`);
    this.name = "ConnectionsExhaustedError";
  }
}

/**
 * Pools connections by target address.
 *
 * @example
 * ```ts
 * const client = connections.acquire("127.0.0.1:9001", 8);
 * connections.release("127.0.0.1:9001", client, { isClean: true });
 * ```
 */
export class TargetConnections {
  readonly #options: TargetConnectionsOptions;
  readonly #pools = new Map<string, ConnectionPool>();
  readonly #sockets = new WeakMap<Client, Socket>();
  /** Connections that have served a request before. */
  readonly #used = new WeakSet<Client>();
  /** Removes the listener of the request in progress. */
  readonly #stopListening = new WeakMap<Client, () => void>();
  readonly #connect: buildConnector.connector;

  constructor(options: TargetConnectionsOptions) {
    this.#options = options;
    this.#connect = createTargetConnector(options.connectTimeoutMs);
  }

  /**
   * Gets an idle connection, or opens a new one.
   * @throws ConnectionsExhaustedError if the limit of connections is reached.
   */
  acquire(address: string, maxConnections: number): Client {
    const pool = this.#getOrCreatePool(address);
    const idle = pool.idle.pop();
    if (idle !== undefined) return idle;
    if (pool.open >= maxConnections) {
      throw new ConnectionsExhaustedError(address);
    }
    pool.open += 1;
    const client: Client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        this.#connect(options, (...result) => {
          const [, socket] = result;
          if (socket !== null) this.#sockets.set(client, socket);
          callback(...result);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.#options.idleTimeoutMs,
    });
    return client;
  }

  /** Gets how far the connection of a request has come. */
  stateOf(client: Client): ConnectionState {
    if (this.#used.has(client)) return ConnectionState.Kept;
    return this.#sockets.has(client)
      ? ConnectionState.New
      : ConnectionState.Opening;
  }

  /**
   * Resets the connection of a request as soon as a signal aborts, until the
   * connection is released. Must be called before the request is sent with the
   * same signal, which would close the connection: what the network has held up
   * of the request until then would still reach the target, however late.
   */
  resetOnAbort(client: Client, signal: AbortSignal): void {
    const onAbort = () => this.#reset(client);
    signal.addEventListener("abort", onAbort, { once: true });
    this.#stopListening.set(
      client,
      () => signal.removeEventListener("abort", onAbort),
    );
  }

  /**
   * Gets whether an address refuses a new connection. One that does not answer
   * in time may have been cut off, and refuses nothing.
   */
  isRefusing(address: string): Promise<boolean> {
    const { hostname, port } = new URL(`http://${address}`);
    return new Promise((resolve) => {
      this.#connect({ hostname, port, protocol: "http:" }, (err, socket) => {
        socket?.destroy();
        resolve((err as NodeJS.ErrnoException)?.code === "ECONNREFUSED");
      });
    });
  }

  /** Returns a connection to its pool, or closes it if it is not clean. */
  release(
    address: string,
    client: Client,
    options: { isClean: boolean },
  ): void {
    this.#stopListening.get(client)?.();
    this.#stopListening.delete(client);
    const pool = this.#pools.get(address);
    if (pool !== undefined && options.isClean && !client.destroyed) {
      this.#used.add(client);
      pool.idle.push(client);
      return;
    }
    if (pool !== undefined) pool.open -= 1;
    this.#reset(client);
    this.#destroy(client);
  }

  /** Closes idle connections to all addresses except the given ones. */
  closeIdleExcept(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue;
      for (const client of pool.idle) this.#destroy(client);
      this.#pools.delete(address);
    }
  }

  #getOrCreatePool(address: string): ConnectionPool {
    let pool = this.#pools.get(address);
    if (pool !== undefined) return pool;
    pool = { idle: [], open: 0 };
    this.#pools.set(address, pool);
    return pool;
  }

  #reset(client: Client): void {
    const socket = this.#sockets.get(client);
    if (socket !== undefined) resetConnection(socket);
  }

  /** Destroys a connection; errors while doing so are ignored. */
  #destroy(client: Client): void {
    client.destroy().catch(() => {});
  }
}

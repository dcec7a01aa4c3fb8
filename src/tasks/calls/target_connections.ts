/** Connections to targets, each for one request at a time. */
import { Client } from "undici";

/** Options of {@link TargetConnections}. */
export interface TargetConnectionsOptions {
  /** Time allowed for a connection to come up, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

interface Pool {
  readonly idle: Client[];
  open: number;
}

/** Represents that a target has all the connections that it may have. */
export class ConnectionsExhaustedError extends Error {
  /** Creates the error. */
  constructor(address: string) {
    super(`All connections to ${address} are in use`);
    this.name = "ConnectionsExhaustedError";
  }
}

/**
 * Lends connections and takes them back.
 *
 * @example
 * ```ts
 * const client = connections.acquire("127.0.0.1:9001", 8);
 * connections.release("127.0.0.1:9001", client, { isClean: true });
 * ```
 */
export class TargetConnections {
  readonly #options: TargetConnectionsOptions;
  readonly #pools = new Map<string, Pool>();

  /** Creates an empty set of connections. */
  constructor(options: TargetConnectionsOptions) {
    this.#options = options;
  }

  /**
   * Lends a connection that nobody uses, or a new one.
   * @throws ConnectionsExhaustedError where all that are allowed are in use.
   */
  acquire(address: string, maxConnections: number): Client {
    const pool = this.#poolOf(address);
    const idle = pool.idle.pop();
    if (idle !== undefined) return idle;
    if (pool.open >= maxConnections) {
      throw new ConnectionsExhaustedError(address);
    }
    pool.open += 1;
    const { connectTimeoutMs, idleTimeoutMs } = this.#options;
    return new Client(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
    });
  }

  /** Takes a connection back; one that is not clean is ended. */
  release(
    address: string,
    client: Client,
    options: { isClean: boolean },
  ): void {
    const pool = this.#pools.get(address);
    if (pool !== undefined && options.isClean && !client.destroyed) {
      pool.idle.push(client);
      return;
    }
    if (pool !== undefined) pool.open -= 1;
    this.#destroy(client);
  }

  /** Ends the connections to all addresses but these. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue;
      for (const client of pool.idle) this.#destroy(client);
      this.#pools.delete(address);
    }
  }

  #poolOf(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool !== undefined) return pool;
    pool = { idle: [], open: 0 };
    this.#pools.set(address, pool);
    return pool;
  }

  /** What a destroyed connection still reports concerns nobody. */
  #destroy(client: Client): void {
    client.destroy().catch(() => {});
  }
}

/** Connection pools for targets; requests are never pipelined. */
import { Path } from "../../core/paths/mod.ts";
import { TargetConnection } from "./target_connection.ts";
import type { TargetPaths } from "./target_paths.ts";

/** Options of {@link TargetConnections}. */
export interface TargetConnectionsOptions {
  /** Opens the connections. */
  readonly paths: Pick<TargetPaths, "open" | "pathTo" | "tryDirectIfDue">;
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Options of {@link TargetConnections.acquire}. */
export interface AcquireOptions {
  /** Maximum number of open connections to the address. */
  readonly maxConnections: number;
  /** Whether the target speaks TLS; false by default. */
  readonly isSecure?: boolean;
  /**
   * Whether the connection must be known to be alive, as for a request that is
   * not repeated if nothing comes back; false by default.
   */
  readonly needsLive?: boolean;
}

/** Options of {@link TargetConnections.use}. */
export interface UseOptions extends AcquireOptions {
  /** Cancels the request; its connection is reset. */
  readonly signal: AbortSignal;
}

interface ConnectionPool {
  readonly idle: TargetConnection[];
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
 * const options = { maxConnections: 8, signal: AbortSignal.timeout(1_000) };
 * await connections.use("127.0.0.1:9001", options, async (connection) => {
 *   const response = await connection.client.request(request);
 *   await response.body.dump();
 *   connection.markComplete();
 * });
 * ```
 */
export class TargetConnections {
  readonly #options: TargetConnectionsOptions;
  readonly #pools = new Map<string, ConnectionPool>();

  constructor(options: TargetConnectionsOptions) {
    this.#options = options;
  }

  /**
   * Gets an idle connection, or opens a new one.
   * @throws ConnectionsExhaustedError if the limit of connections is reached.
   */
  acquire(address: string, options: AcquireOptions): TargetConnection {
    const pool = this.#getOrCreatePool(address);
    const idle = this.#takeIdle(pool, options.needsLive ?? false);
    if (idle !== undefined) return idle.reserve();
    if (pool.open >= options.maxConnections) {
      throw new ConnectionsExhaustedError(address);
    }
    pool.open += 1;
    const { paths, idleTimeoutMs } = this.#options;
    return new TargetConnection({
      address,
      isSecure: options.isSecure ?? false,
      idleTimeoutMs,
      open: () => paths.open(address),
    }).reserve();
  }

  /**
   * Returns a connection to its pool, or resets it if its response was not read
   * completely.
   */
  release(connection: TargetConnection): void {
    const isReusable = connection.release();
    const pool = this.#pools.get(connection.address);
    if (pool !== undefined && isReusable) {
      pool.idle.push(connection);
      return;
    }
    if (pool !== undefined) pool.open -= 1;
    connection.destroy();
  }

  /**
   * Runs one request on a connection. The connection is reset as soon as the
   * signal aborts, and also if the request does not mark its response as
   * complete.
   * @throws ConnectionsExhaustedError if the limit of connections is reached.
   */
  async use<T>(
    address: string,
    options: UseOptions,
    run: (connection: TargetConnection) => Promise<T>,
  ): Promise<T> {
    const connection = this.acquire(address, options);
    connection.resetOnAbort(options.signal);
    try {
      return await run(connection);
    } finally {
      this.release(connection);
    }
  }

  /** Closes idle connections to all addresses except the given ones. */
  closeIdleExcept(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue;
      for (const connection of pool.idle) connection.close();
      this.#pools.delete(address);
    }
  }

  /**
   * Takes an idle connection of the path that is preferred now; others are
   * closed, so a relay ends with the cut that needs it.
   */
  #takeIdle(
    pool: ConnectionPool,
    needsLive: boolean,
  ): TargetConnection | undefined {
    const { paths } = this.#options;
    while (pool.idle.length > 0) {
      const connection = pool.idle.pop()!;
      const { address, path } = connection;
      if (path === Path.Relayed) paths.tryDirectIfDue(address);
      const isUsable = connection.isReusable &&
        path === paths.pathTo(address) &&
        (!needsLive || connection.isLive);
      if (isUsable) return connection;
      pool.open -= 1;
      connection.close();
    }
    return undefined;
  }

  #getOrCreatePool(address: string): ConnectionPool {
    let pool = this.#pools.get(address);
    if (pool !== undefined) return pool;
    pool = { idle: [], open: 0 };
    this.#pools.set(address, pool);
    return pool;
  }
}

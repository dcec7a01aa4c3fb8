/** The ways by which an instance reaches targets. */
import { type Dial, dialTcp, parseEndpoint, untilConnected } from "./dial.ts";
import type { ResettableSocket } from "./connection_reset.ts";

/** Options of {@link TargetPaths}. */
export interface TargetPathsOptions {
  /** Time in which a connection must be established, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Dials an endpoint; by default over TCP. */
  readonly dial?: Dial;
}

/** Opens connections to targets. */
export class TargetPaths {
  readonly #options: TargetPathsOptions;

  constructor(options: TargetPathsOptions) {
    this.#options = options;
  }

  /**
   * Opens a connection to an address.
   * @throws The error of the connection attempt.
   */
  open(address: string): Promise<ResettableSocket> {
    const { dial = dialTcp, connectTimeoutMs } = this.#options;
    return untilConnected(dial(parseEndpoint(address)), connectTimeoutMs);
  }

  /**
   * Gets whether an address refuses a new connection. One that does not answer
   * in time may have been cut off, and refuses nothing.
   */
  async isRefusing(address: string): Promise<boolean> {
    try {
      const socket = await this.open(address);
      socket.destroy();
      return false;
    } catch (err) {
      return (err as NodeJS.ErrnoException).code === "ECONNREFUSED";
    }
  }
}

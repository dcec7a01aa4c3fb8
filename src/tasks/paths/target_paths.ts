/** The ways by which an instance reaches targets. */
import type { Socket } from "node:net";
import { Path, PathTable } from "../../core/paths/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { type Dial, dialTcp, parseEndpoint, untilConnected } from "./dial.ts";
import { type OpenedConnection, PathRace } from "./path_race.ts";
import type { RelayClient } from "./relay_client.ts";
import { TargetUnreachableError } from "./target_unreachable_error.ts";

/** What an instance needs to reach targets through others. */
export interface RelayOptions {
  readonly client: Pick<RelayClient, "candidates" | "open">;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when this instance is cut off, or no longer. */
  readonly onCutOffChanged: (isCutOff: boolean) => void;
}

/** Options of {@link TargetPaths}. */
export interface TargetPathsOptions {
  /** Time in which a connection must be established, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Dials an endpoint; by default over TCP. */
  readonly dial?: Dial;
  /** Relays; without them, connections are opened directly only. */
  readonly relays?: RelayOptions;
}

/** Opens connections to targets. */
export class TargetPaths {
  readonly #options: TargetPathsOptions;
  readonly #table = new PathTable();
  #wasCutOff = false;

  constructor(options: TargetPathsOptions) {
    this.#options = options;
  }

  /** Gets whether this instance has probably lost all targets. */
  get isCutOff(): boolean {
    return this.#table.isCutOff;
  }

  /** Gets the path by which a connection to an address is opened first. */
  pathTo(address: string): Path {
    return this.#table.pathTo(address);
  }

  /**
   * Opens a connection to an address, by the path that is established first.
   * @throws The error of the connection attempt.
   */
  async open(
    address: string,
  ): Promise<Pick<OpenedConnection, "socket" | "path">> {
    const { relays, connectTimeoutMs } = this.#options;
    if (relays === undefined) {
      return { socket: await this.openDirect(address), path: Path.Direct };
    }
    this.tryDirectIfDue(address);
    if (!this.#table.allowAttempt(performance.now())) {
      throw new TargetUnreachableError(address);
    }
    try {
      const opened = await new PathRace({
        address,
        first: this.pathTo(address),
        timeoutMs: connectTimeoutMs,
        openDirect: () => this.openDirect(address),
        relays: relays.client,
      }).run();
      this.#table.onReached();
      relays.metrics.count(`connections.${opened.path}`);
      if (opened.hasLostDirect) this.#onLost(address);
      return opened;
    } catch (err) {
      this.#table.onUnreached(address);
      throw err;
    }
  }

  /**
   * Opens a direct connection to an address.
   * @throws The error of the connection attempt.
   */
  async openDirect(address: string): Promise<Socket> {
    const { dial = dialTcp, connectTimeoutMs } = this.#options;
    const endpoint = parseEndpoint(address);
    const socket = await untilConnected(dial(endpoint), connectTimeoutMs);
    this.#onDirect(address);
    return socket;
  }

  /** Tries a lost path again, if its trial is due; failures are ignored. */
  tryDirectIfDue(address: string): void {
    if (this.pathTo(address) === Path.Direct) return;
    if (!this.#table.takeTrial(address, performance.now())) return;
    this.openDirect(address).then(
      (socket) => socket.destroy(),
      () => {
        // The path is still lost; the next trial comes later.
      },
    );
  }

  /**
   * Gets whether an address refuses a new connection, by all paths. One that does
   * not answer in time may have been cut off, and refuses nothing.
   */
  async isRefusing(address: string): Promise<boolean> {
    try {
      const { socket } = await this.open(address);
      socket.destroy();
      return false;
    } catch (err) {
      return (err as NodeJS.ErrnoException).code === "ECONNREFUSED";
    }
  }

  /** Forgets all addresses except the given ones. */
  keepOnly(addresses: ReadonlySet<string>): this {
    this.#table.keepOnly(addresses);
    this.#reportCutOff();
    return this;
  }

  #onLost(address: string): void {
    const isNew = this.#table.onLost(address, performance.now());
    if (isNew) this.#options.relays?.logger.event("pathLost", { address });
    this.#reportCutOff();
  }

  #onDirect(address: string): void {
    const wasLost = this.#table.onDirect(address);
    if (wasLost) this.#options.relays?.logger.event("pathFound", { address });
    this.#reportCutOff();
  }

  #reportCutOff(): void {
    const { relays } = this.#options;
    relays?.metrics.gauge("connections.lostPaths", this.#table.lostCount);
    if (this.isCutOff === this.#wasCutOff) return;
    this.#wasCutOff = this.isCutOff;
    const name = this.isCutOff ? "targetsLost" : "targetsFound";
    relays?.logger.event(name);
    relays?.onCutOffChanged(this.isCutOff);
  }
}

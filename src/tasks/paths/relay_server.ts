/** Forwards connections of other instances to targets that they have lost. */
import type { Socket } from "node:net";
import type { ElapsedClock } from "../../core/clock/mod.ts";
import { Path } from "../../core/paths/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { DialledPeer, PeerHub } from "../peers/mod.ts";
import {
  decodeRelayRequest,
  RelayRefusal,
  type RelayReply,
} from "./relay_message.ts";
import type { TargetPaths } from "./target_paths.ts";
import { TunnelSocket } from "./tunnel_socket.ts";

/** Options of {@link RelayServer}. */
export interface RelayServerOptions {
  readonly hub: Pick<PeerHub, "onTunnel">;
  readonly paths: Pick<TargetPaths, "openDirect" | "pathTo">;
  /** Gets whether a known target has an address. */
  readonly isTarget: (address: string) => boolean;
  readonly clock: Pick<ElapsedClock, "now">;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Maximum number of connections forwarded at the same time. */
const MAX_RELAYED = 256;
/** Time in which a new tunnel must name its target. */
const REQUEST_TIMEOUT_MS = 3_000;
const WATCH_INTERVAL_MS = 200;
/**
 * Time without a check from which the process was suspended: the bytes that have
 * arrived meanwhile may belong to requests that were given up.
 */
const SUSPENDED_AFTER_MS = 1_000;
const DRAIN_CHECK_INTERVAL_MS = 50;

/**
 * Opens connections to targets for other instances, and forwards their bytes.
 * It connects directly only, so a forwarded connection is not forwarded again.
 */
export class RelayServer {
  readonly #options: RelayServerOptions;
  readonly #tunnels = new Set<TunnelSocket>();
  /** Runs while connections are forwarded. */
  #timer: NodeJS.Timeout | undefined;
  #watchedAt = 0;
  #isDraining = false;

  /** Creates the server, and forwards the tunnels of the hub from now on. */
  constructor(options: RelayServerOptions) {
    this.#options = options;
    options.hub.onTunnel((dialled, from) => this.#onTunnel(dialled, from));
  }

  /** Gets the number of forwarded connections. */
  get size(): number {
    return this.#tunnels.size;
  }

  /**
   * Refuses new connections, and waits until the open ones have ended.
   * @param timeoutMs - Longest wait, in milliseconds.
   */
  async drain(timeoutMs: number): Promise<void> {
    this.#isDraining = true;
    for (const tunnel of this.#tunnels) send(tunnel, { type: "draining" });
    const endsAt = performance.now() + timeoutMs;
    while (this.size > 0 && performance.now() < endsAt) {
      await new Promise((resolve) =>
        setTimeout(resolve, DRAIN_CHECK_INTERVAL_MS)
      );
    }
  }

  /** Resets all forwarded connections, and forwards no more. */
  stop(): void {
    this.#stopWatch();
    this.#isDraining = true;
    this.#resetAll();
  }

  #startWatch(): void {
    if (this.#timer !== undefined) return;
    this.#watchedAt = this.#options.clock.now();
    this.#timer = setInterval(() => this.#watch(), WATCH_INTERVAL_MS);
  }

  #stopWatch(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #onTunnel(dialled: DialledPeer, from: string): void {
    const tunnel = new TunnelSocket(dialled);
    this.#tunnels.add(tunnel);
    this.#startWatch();
    const timer = setTimeout(
      () => tunnel.resetAndDestroy(),
      REQUEST_TIMEOUT_MS,
    );
    tunnel.once("close", () => {
      clearTimeout(timer);
      this.#tunnels.delete(tunnel);
      if (this.size === 0) this.#stopWatch();
    });
    tunnel.onText = (text) => {
      clearTimeout(timer);
      tunnel.onText = () => {};
      this.#open(tunnel, { text, from })
        .catch((err) => this.#options.logger.error(err));
    };
  }

  async #open(
    tunnel: TunnelSocket,
    { text, from }: { text: string; from: string },
  ): Promise<void> {
    const { logger, metrics, paths } = this.#options;
    const address = decodeRelayRequest(text)?.address ?? "";
    const refusal = this.#refusalOf(address);
    if (refusal !== undefined) {
      logger.event("relayRefused", { peer: from, address, reason: refusal });
      refuse(tunnel, refusal);
      return;
    }
    try {
      const target = await paths.openDirect(address);
      metrics.count("relays.opened");
      this.#forward(tunnel, target);
      send(tunnel, { type: "opened" });
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      const reason = code === "ECONNREFUSED"
        ? RelayRefusal.TargetRefused
        : RelayRefusal.Unreachable;
      logger.event("relayRefused", { peer: from, address, reason });
      refuse(tunnel, reason);
    }
  }

  #refusalOf(address: string): RelayRefusal | undefined {
    const { paths, isTarget } = this.#options;
    if (this.#isDraining || this.size > MAX_RELAYED) return RelayRefusal.Busy;
    if (!isTarget(address)) return RelayRefusal.UnknownTarget;
    return paths.pathTo(address) === Path.Relayed
      ? RelayRefusal.Unreachable
      : undefined;
  }

  #forward(tunnel: TunnelSocket, target: Socket): void {
    if (tunnel.destroyed) {
      target.resetAndDestroy();
      return;
    }
    target.on("data", (chunk) => {
      if (!tunnel.write(chunk)) target.pause();
    });
    tunnel.on("drain", () => target.resume());
    tunnel.on("data", (chunk) => {
      this.#watch();
      if (!tunnel.destroyed && !target.write(chunk)) tunnel.pause();
    });
    target.on("drain", () => tunnel.resume());
    let isReset = false;
    target.on("error", () => {
      isReset = true;
      tunnel.resetAndDestroy();
    });
    target.on("end", () => {
      // A reset is reported before the end that it looks like, or to the bytes
      // that are being sent.
      if (isReset) return;
      if (target.writableLength === 0) tunnel.end();
      else target.once("close", (hasFailed) => !hasFailed && tunnel.end());
    });
    tunnel.on("end", () => target.end());
    tunnel.on("close", () => {
      if (!tunnel.readableEnded) target.resetAndDestroy();
    });
  }

  /** Resets all connections if the process was suspended since the last check. */
  #watch(): void {
    const now = this.#options.clock.now();
    const wasSuspended = now - this.#watchedAt > SUSPENDED_AFTER_MS;
    this.#watchedAt = now;
    if (wasSuspended) this.#resetAll();
    this.#options.metrics.gauge("relays.open", this.size);
  }

  #resetAll(): void {
    for (const tunnel of this.#tunnels) tunnel.resetAndDestroy();
  }
}

function send(tunnel: TunnelSocket, reply: RelayReply): void {
  tunnel.sendText(JSON.stringify(reply));
}

function refuse(tunnel: TunnelSocket, reason: RelayRefusal): void {
  send(tunnel, { type: "refused", reason });
  tunnel.end();
}

/** The HTTP server for the metrics of an instance. */
import { createServer, type Server } from "node:http";
import polka from "polka";
import type { Logger } from "../logging/mod.ts";
import { type Metrics, renderMetrics } from "../metrics/mod.ts";
import type { Address } from "../settings/mod.ts";
import { Listener } from "./listener.ts";

/** Serves metrics in the text format of Prometheus. */
export class MetricsServer {
  readonly #server: Server = createServer();
  #listener: Listener | undefined;

  /** Creates the server; call {@link listen} to accept connections. */
  constructor(metrics: Metrics) {
    const app = polka({ server: this.#server });
    app.get("/metrics", (_req, res) => {
      res.setHeader("content-type", "text/plain; version=0.0.4");
      res.end(renderMetrics(metrics));
    });
    this.#server.on("request", app.handler as never);
  }

  /** Starts listening once the address is free; logs if it cannot be used. */
  listen(address: Address, logger: Pick<Logger, "event">): void {
    const listener = new Listener({
      server: this.#server,
      address,
      use: "metrics",
      logger,
    });
    this.#listener = listener;
    listener.open().catch((err: Error) => {
      if (listener.isStopped) return;
      logger.event("listenerFailed", { use: "metrics", detail: err.message });
    });
  }

  /** Closes the server and all connections. */
  close(): void {
    this.#listener?.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

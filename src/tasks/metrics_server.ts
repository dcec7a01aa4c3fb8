/** The HTTP server for the metrics of an instance. */
import { createServer, type Server } from "node:http";
import polka from "polka";
import { listenOn } from "./http_listener.ts";
import { type Metrics, renderMetrics } from "../metrics/mod.ts";

/** Serves metrics in the text format of Prometheus. */
export class MetricsServer {
  readonly #server: Server = createServer();

  /** Creates the server; call {@link listen} to accept connections. */
  constructor(metrics: Metrics) {
    const app = polka({ server: this.#server });
    app.get("/metrics", (_req, res) => {
      res.setHeader("content-type", "text/plain; version=0.0.4");
      res.end(renderMetrics(metrics));
    });
    this.#server.on("request", app.handler as never);
  }

  /** Starts listening. */
  listen(address: { host: string; port: number }): Promise<void> {
    return listenOn(this.#server, address);
  }

  /** Closes the server and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

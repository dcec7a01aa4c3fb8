/** Serves the metrics of an instance. */
import { createServer, type Server } from "node:http";
import polka from "polka";
import { type Metrics, renderMetrics } from "../metrics/mod.ts";

/** Owns the listener for collectors. */
export class MetricsServer {
  readonly #server: Server = createServer();

  /** Creates the server; it does not listen yet. */
  constructor(metrics: Metrics) {
    const app = polka({ server: this.#server });
    app.get("/metrics", (_req, res) => {
      res.setHeader("content-type", "text/plain; version=0.0.4");
      res.end(renderMetrics(metrics));
    });
    this.#server.on("request", app.handler as never);
  }

  /** Begins to listen. */
  listen(address: { host: string; port: number }): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, () => resolve());
    });
  }

  /** Takes no more connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

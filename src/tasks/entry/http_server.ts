/** The HTTP server of an instance. */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { IncomingMessage } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Server as TlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import polka, { type Middleware } from "polka";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { Settings } from "../../settings/mod.ts";
import { stopAccepting } from "../http_listener.ts";
import { Listener } from "../listener.ts";
import { sendRefusal, toRefusal } from "./http_response.ts";
import type { OperatorHandlers } from "./operator_handlers.ts";
import type { HttpContext } from "./http_context.ts";
import type { RouteHandlers } from "./route_handlers.ts";

/** Options of {@link HttpServer}. */
export interface HttpServerOptions {
  readonly settings: Settings;
  /** Handlers of the endpoints for callers. */
  readonly routes: RouteHandlers;
  /** Handlers of the endpoints for operators and targets. */
  readonly operators: OperatorHandlers;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Certificate and key; plain HTTP is served if undefined. */
  readonly secure?: { readonly cert: Buffer; readonly key: Buffer };
}

type Handler = (ctx: HttpContext) => void | Promise<void>;

const MAX_HEADER_BYTES = 16_384;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const DRAIN_POLL_INTERVAL_MS = 50;

/** Serves the endpoints for callers, operators and targets. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: Server | TlsServer;
  readonly #listener: Listener;
  #openRequests = 0;
  #isDraining = false;

  /** Creates the server; call {@link listen} to accept connections. */
  constructor(options: HttpServerOptions) {
    this.#options = options;
    const { http } = options.settings;
    const serverOptions = {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: http.headersTimeoutMs,
      requestTimeout: http.headersTimeoutMs + http.bodyTimeoutMs,
      connectionsCheckingInterval: 1_000,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    };
    this.#server = options.secure === undefined
      ? createServer(serverOptions)
      : createTlsServer({ ...serverOptions, ...options.secure });
    this.#server.maxConnections = http.maxConnections;
    this.#listener = new Listener({
      server: this.#server as Server,
      address: options.settings.listen,
      use: "callers",
      logger: options.logger,
    });
    this.#server.on("clientError", (err, socket) => {
      options.metrics.count("refusals.malformedRequest");
      if (!socket.writable) return;
      socket.end(formatRawRefusal(err as NodeJS.ErrnoException));
    });
    this.#registerRoutes();
  }

  /** Gets the number of requests in progress. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /**
   * Starts listening, once the address is free.
   * @returns The port.
   * @throws ListenError if it cannot listen at the address.
   */
  async listen(): Promise<number> {
    await this.#listener.open();
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Replaces the certificate for new connections; has no effect without TLS.
   */
  setSecureContext(secure: { cert: Buffer; key: Buffer }): this {
    if ("setSecureContext" in this.#server) {
      this.#server.setSecureContext(secure);
    }
    return this;
  }

  /**
   * Stops listening and waits until all requests have ended, up to the drain
   * timeout of the settings.
   */
  async drain(): Promise<void> {
    this.#isDraining = true;
    this.#listener.stop();
    const deadline = Date.now() + this.#options.settings.http.drainTimeoutMs;
    await stopAccepting(this.#server as Server, () => {});
    this.#server.closeIdleConnections();
    while (this.#openRequests > 0 && Date.now() < deadline) {
      await new Promise((resolve) =>
        setTimeout(resolve, DRAIN_POLL_INTERVAL_MS)
      );
      this.#server.closeIdleConnections();
    }
  }

  /** Closes the server and all connections. */
  stop(): void {
    this.#listener.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #registerRoutes(): void {
    const { routes, operators } = this.#options;
    const { steps } = routes;
    const app = polka({
      server: this.#server as Server,
      onError: (err, _req, res) => this.#sendError(res as ServerResponse, err),
      onNoMatch: (_req, res) =>
        sendRefusal(
          res as ServerResponse,
          new RefusalError(RefusalReason.NotFound, Verdict.NotRun),
        ),
    });
    const handle = (handler: Handler) => this.#toMiddleware(handler);
    app.post("/v1/chat/completions", handle((c) => routes.complete(c)));
    app.post("/v1/completions", handle((c) => routes.complete(c)));
    app.get("/v1/models", handle((c) => routes.listModels(c)));
    app.post("/v1/steps", handle((c) => steps.submitStep(c)));
    app.get("/v1/steps/:step", handle((c) => steps.showStep(c)));
    app.get("/v1/steps/:step/samples", handle((c) => steps.readSamples(c)));
    app.post("/v1/steps/:step/ack", handle((c) => steps.ackSamples(c)));
    app.delete("/v1/steps/:step", handle((c) => steps.cancelStep(c)));
    app.post("/v1/weights", handle((c) => routes.announceWeights(c)));
    app.all("/services/:route", handle((c) => routes.callService(c)));
    app.all("/services/:route/*", handle((c) => routes.callService(c)));
    app.get("/health", handle((c) => operators.health(c)));
    app.post("/targets/announce", handle((c) => operators.announceTarget(c)));
    app.post("/targets/:id/leave", handle((c) => operators.leaveTarget(c)));
    app.get("/operator/config", handle((c) => operators.showConfiguration(c)));
    app.post(
      "/operator/config",
      handle((c) => operators.changeConfiguration(c)),
    );
    app.get("/operator/keys", handle((c) => operators.listKeys(c)));
    app.post("/operator/keys", handle((c) => operators.createKey(c)));
    app.delete("/operator/keys/:id", handle((c) => operators.withdrawKey(c)));
    app.get("/operator/status", handle((c) => operators.showStatus(c)));
    app.get("/operator/steps", handle((c) => operators.listSteps(c)));
    app.get("/operator/usage", handle((c) => operators.showUsage(c)));
    this.#server.on("request", app.handler as never);
  }

  #toMiddleware(handler: Handler): Middleware {
    return (rawReq, rawRes) => {
      const req = rawReq as unknown as IncomingMessage;
      const res = rawRes as ServerResponse;
      const { params } = rawReq as unknown as { params: HttpContext["params"] };
      this.#openRequests += 1;
      res.once("close", () => {
        this.#openRequests -= 1;
      });
      if (this.#isDraining) res.setHeader("connection", "close");
      const url = new URL(req.url ?? "/", "http://localhost");
      const ctx = { req, res, params, query: url.searchParams };
      Promise.resolve()
        .then(() => handler(ctx))
        .catch((err) => this.#sendError(res, err));
    };
  }

  #sendError(res: ServerResponse, err: unknown): void {
    const refusal = toRefusal(err);
    const { logger, metrics } = this.#options;
    metrics.count(`refusals.${refusal.reason}`);
    if (refusal.reason === RefusalReason.Internal) logger.error(err);
    logger.event("requestRefused", {
      reason: refusal.reason,
      verdict: refusal.verdict,
    });
    const isBodyUnread = !res.req.complete;
    if (isBodyUnread && !res.headersSent) res.setHeader("connection", "close");
    sendRefusal(res, refusal);
  }
}

function formatRawRefusal(err: NodeJS.ErrnoException): string {
  const isTooLarge = err.code === "HPE_HEADER_OVERFLOW";
  const refusal = new RefusalError(
    RefusalReason.MalformedRequest,
    Verdict.NotRun,
    { message: isTooLarge ? "Headers are too large" : "Malformed request" },
  );
  const body = JSON.stringify(refusal.toBody());
  return [
    isTooLarge
      ? "HTTP/1.1 431 Request Header Fields Too Large"
      : "HTTP/1.1 400 Bad Request",
    "content-type: application/json",
    "x-nutmegreel-verdict: notRun",
    `content-length: ${Buffer.byteLength(body)}`,
    "connection: close",
    "",
    body,
  ].join("\r\n");
}

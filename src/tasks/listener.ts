/** Listeners that wait for their address. */
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { NutmegreelError } from "../core/errors/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Address } from "../settings/mod.ts";
import { listenOn } from "./http_listener.ts";

/** Options of {@link Listener}. */
export interface ListenerOptions {
  readonly server: Server;
  readonly address: Address;
  /** Whom the listener is for, as in the settings; for the log. */
  readonly use: "callers" | "control" | "metrics" | "peers" | "readiness";
  readonly logger: Pick<Logger, "event">;
}

/** Thrown if a server cannot listen, for a reason that waiting leaves as is. */
export class ListenError extends NutmegreelError {
  /**
   * @param text - What the listener is for, and its address.
   * @param cause - Error of the socket.
   */
  constructor(text: string, cause: Error) {
    super("listenFailed", `Cannot listen for ${text}: ${cause.message}`, {
      cause,
    });
  }
}

const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;
const RETRY_DELAY_FACTOR = 2;
const LOG_INTERVAL_MS = 30_000;

/** Errors that end by themselves, such as with an earlier process. */
const PASSING_CODES: ReadonlySet<string | undefined> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
  "EAI_AGAIN",
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "ENOMEM",
]);

/**
 * Opens the listener of a server, as soon as its address is free.
 *
 * @example
 * ```ts
 * const listener = new Listener({ server, address, use: "callers", logger });
 * await listener.open();
 * ```
 */
export class Listener {
  readonly #options: ListenerOptions;
  readonly #stop = new AbortController();
  #loggedAt = -Infinity;
  #failures = 0;

  /** Handles the server's errors from now on; none of them is thrown. */
  constructor(options: ListenerOptions) {
    this.#options = options;
    options.server.on("error", (err) => this.#onError(err));
  }

  /**
   * Listens, now or once that is possible.
   * @throws ListenError if waiting cannot make it possible.
   * @throws AbortError if the listener was stopped before.
   */
  async open(): Promise<void> {
    const { server, address, logger } = this.#options;
    const { signal } = this.#stop;
    const startedAt = performance.now();
    const getWaitedMs = () => Math.round(performance.now() - startedAt);
    let delayMs = MIN_RETRY_DELAY_MS;
    for (;;) {
      signal.throwIfAborted();
      try {
        await listenOn(server, address);
        break;
      } catch (err) {
        this.#throwIfLasting(err as Error);
        this.#logWait(err as Error, getWaitedMs());
      }
      await sleep(delayMs, undefined, { signal });
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * RETRY_DELAY_FACTOR);
    }
    if (this.#loggedAt === -Infinity) return;
    this.#loggedAt = -Infinity;
    const fields = { ...this.#fields, waitedMs: getWaitedMs() };
    logger.event("listenerOpened", fields);
  }

  /** Gets whether the listener was stopped. */
  get isStopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Stops waiting for the address; an open server stays open. */
  stop(): void {
    this.#stop.abort();
  }

  get #fields() {
    const { use, address } = this.#options;
    return { use, address: `${address.host}:${address.port}` };
  }

  #throwIfLasting(err: NodeJS.ErrnoException): void {
    if (PASSING_CODES.has(err.code)) return;
    const { use, address } = this.#fields;
    throw new ListenError(`${use} at ${address}`, err);
  }

  #logWait(err: Error, waitedMs: number): void {
    if (!this.#takeLine()) return;
    const fields = { ...this.#fields, detail: err.message, waitedMs };
    this.#options.logger.event("listenerWaits", fields);
  }

  /** Logs an error of the open listener, such as of a connection. */
  #onError(err: Error): void {
    const { server, logger } = this.#options;
    if (!server.listening) return;
    this.#failures += 1;
    if (!this.#takeLine()) return;
    const failures = this.#failures;
    this.#failures = 0;
    const fields = { ...this.#fields, detail: err.message, failures };
    logger.event("listenerFailed", fields);
  }

  /** Gets whether a line may be logged; one may in each interval. */
  #takeLine(): boolean {
    const now = performance.now();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return false;
    this.#loggedAt = now;
    return true;
  }
}

/** Opening of one connection by several paths at once. */
import { errors } from "undici";
import { Path } from "../../core/paths/mod.ts";
import type { ResettableSocket } from "./connection_reset.ts";
import { RelayError } from "./relay_error.ts";
import type { RelayClient } from "./relay_client.ts";
import { RelayRefusal } from "./relay_message.ts";
import { TargetUnreachableError } from "./target_unreachable_error.ts";

/** Options of {@link PathRace}. */
export interface PathRaceOptions {
  /** Address of the target. */
  readonly address: string;
  /** Path that is tried first. */
  readonly first: Path;
  /** Time for all attempts together, in milliseconds. */
  readonly timeoutMs: number;
  readonly openDirect: () => Promise<ResettableSocket>;
  readonly relays: Pick<RelayClient, "candidates" | "open">;
}

/** A connection, and how it was opened. */
export interface OpenedConnection {
  readonly socket: ResettableSocket;
  readonly path: Path;
  /** Whether a direct connection was tried and not established in time. */
  readonly hasLostDirect: boolean;
}

/**
 * Time after which the next attempt starts beside one that is in progress, as
 * RFC 8305 has it for the addresses of a host; its lower bound.
 */
const ATTEMPT_DELAY_MS = 100;
/** Maximum number of instances that are asked to relay. */
const MAX_RELAYS = 3;
const REFUSED_CODE = "ECONNREFUSED";

/**
 * Opens a connection to a target, directly and through other instances, and takes
 * what is established first.
 */
export class PathRace {
  readonly #options: PathRaceOptions;
  readonly #abort = new AbortController();
  #resolve: (opened: OpenedConnection) => void = () => {};
  #reject: (err: Error) => void = () => {};
  #isSettled = false;
  #hasTriedDirect = false;
  #hasTriedRelays = false;
  /** Number of paths that are being tried. */
  #pending = 0;
  #directError: NodeJS.ErrnoException | undefined;
  readonly #refusals: RelayRefusal[] = [];

  constructor(options: PathRaceOptions) {
    this.#options = options;
  }

  /**
   * Runs the attempts.
   * @throws The error of the direct attempt, with code `ECONNREFUSED` only if
   * every instance that was asked says the same of the target.
   */
  async run(): Promise<OpenedConnection> {
    const { first, timeoutMs } = this.#options;
    const opened = new Promise<OpenedConnection>((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    const timer = setTimeout(
      () => this.#fail(new errors.ConnectTimeoutError("Connect timeout")),
      timeoutMs,
    );
    const relayTimer = setTimeout(() => this.#tryRelays(), ATTEMPT_DELAY_MS);
    if (first === Path.Direct) this.#tryDirect();
    else this.#tryRelays();
    try {
      return await opened;
    } finally {
      clearTimeout(timer);
      clearTimeout(relayTimer);
      this.#isSettled = true;
      this.#abort.abort();
    }
  }

  #tryDirect(): void {
    if (this.#hasTriedDirect || this.#isSettled) return;
    this.#hasTriedDirect = true;
    this.#pending += 1;
    this.#options.openDirect().then(
      (socket) => this.#win(socket, Path.Direct),
      (err) => {
        this.#directError = err;
        this.#tryRelays();
        this.#onEnded();
      },
    );
  }

  #tryRelays(): void {
    if (this.#hasTriedRelays || this.#isSettled) return;
    this.#hasTriedRelays = true;
    this.#pending += 1;
    this.#runRelays().then(
      () => {
        this.#tryDirect();
        this.#onEnded();
      },
      (err) => this.#fail(err),
    );
  }

  /** Asks one instance after the other, each with a head start. */
  async #runRelays(): Promise<void> {
    const candidates = await this.#options.relays.candidates();
    const attempts: Promise<void>[] = [];
    for (const instance of candidates.slice(0, MAX_RELAYS)) {
      if (this.#isSettled) return;
      const attempt = this.#relayThrough(instance);
      attempts.push(attempt);
      await settledOrDelayed(attempt);
    }
    await Promise.all(attempts);
  }

  async #relayThrough(instance: string): Promise<void> {
    const { relays, address } = this.#options;
    try {
      const socket = await relays.open(instance, address, this.#abort.signal);
      this.#win(socket, Path.Relayed);
    } catch (err) {
      const isRefusal = err instanceof RelayError;
      this.#refusals.push(isRefusal ? err.reason : RelayRefusal.Lost);
    }
  }

  #win(socket: ResettableSocket, path: Path): void {
    if (this.#isSettled) {
      socket.destroy();
      return;
    }
    this.#isSettled = true;
    const hasLostDirect = path === Path.Relayed && this.#hasTriedDirect;
    this.#resolve({ socket, path, hasLostDirect });
  }

  #onEnded(): void {
    this.#pending -= 1;
    if (this.#pending === 0) this.#fail(this.#createError());
  }

  #fail(err: Error): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#reject(err);
  }

  #createError(): Error {
    const err = this.#directError;
    const isRefusedByAll = this.#refusals
      .every((reason) => reason === RelayRefusal.TargetRefused);
    if (err !== undefined && (err.code !== REFUSED_CODE || isRefusedByAll)) {
      return err;
    }
    return new TargetUnreachableError(this.#options.address, { cause: err });
  }
}

/** Waits until an attempt has ended, for a limited time. */
function settledOrDelayed(attempt: Promise<void>): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, ATTEMPT_DELAY_MS);
    attempt.finally(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

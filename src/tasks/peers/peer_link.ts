/** Outgoing connection to another instance. */
import type { WebSocket } from "ws";
import type { PeerSettings } from "../../settings/mod.ts";
import type { LinkMemory } from "./link_memory.ts";
import { dialPeer, type LinkSecurity, PeerPath } from "./peer_dialer.ts";
import {
  decodeEnvelope,
  encodeEnvelope,
  type PeerEnvelope,
} from "./peer_envelope.ts";

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  /** ID of this instance. */
  readonly self: string;
  /** Settings of the other instance. */
  readonly peer: PeerSettings;
  /** Secret shared by all instances; empty if certificates are used instead. */
  readonly secret: string;
  /** Gets the certificates; undefined for a plain connection. */
  readonly security: () => LinkSecurity | undefined;
  /** What the link is for; by default, for all messages. */
  readonly path?: PeerPath;
  /** Called when the link comes up or goes down. */
  readonly onChange: (isUp: boolean) => void;
  /** Called with the size of each message sent, in bytes. */
  readonly onSent: (bytes: number) => void;
  /** Memory of all links. */
  readonly memory: LinkMemory;
  /** Called with each message received. */
  readonly onMessage: (envelope: PeerEnvelope) => void;
  /** Called with the size of each message received, in bytes. */
  readonly onReceived: (bytes: number) => void;
}

/** Time without received data after which a ping is sent. */
export const PING_INTERVAL_MS = 500;
/** Time without received data after which an open link is closed as dead. */
export const SILENCE_TIMEOUT_MS = 1_800;
const MIN_REDIAL_DELAY_MS = 100;
const MAX_REDIAL_DELAY_MS = 1_000;
/** Time in which the other instance must have read a link that is replaced. */
const REPLACE_TIMEOUT_MS = 5_000;
/** Content of the ping that follows the last message of a replaced link. */
const LAST_PING = Buffer.from("last");
/** Size of a link's send buffer above which messages are dropped, in bytes. */
const MAX_BUFFERED_BYTES = 33_554_432;

/** Maintains a connection to an instance, redialling it with back-off. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  #socket: WebSocket | undefined;
  #isUp = false;
  #isStopped = false;
  #redialDelayMs = MIN_REDIAL_DELAY_MS;
  #redialTimer: NodeJS.Timeout | undefined;
  #lastReceivedAt = 0;
  readonly #waiters = new Set<(isUp: boolean) => void>();

  /** Dials at once. */
  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#dial();
  }

  /** Gets whether the link is authenticated and open. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Gets the size of what waits to be sent, in bytes. */
  get bufferedBytes(): number {
    return this.#socket?.bufferedAmount ?? 0;
  }

  /** Sends a message; drops it if the link is down or its buffer is full. */
  send(envelope: PeerEnvelope): boolean {
    return this.sendBytes(() => encodeEnvelope(envelope));
  }

  /** Sends a message that is encoded only if it can be sent. */
  sendBytes(encode: () => Buffer): boolean {
    const socket = this.#socket;
    if (!this.#isUp || socket === undefined) return false;
    if (socket.readyState !== socket.OPEN) return false;
    const { onSent, memory } = this.#options;
    return sendEncoded(socket, { encode, onSent, memory });
  }

  /**
   * Waits until the link is up.
   * @returns Whether it came up in time.
   */
  waitUntilUp(timeoutMs: number): Promise<boolean> {
    if (this.#isUp) return Promise.resolve(true);
    return new Promise((resolve) => {
      const settle = (isUp: boolean) => {
        clearTimeout(timer);
        this.#waiters.delete(settle);
        resolve(isUp);
      };
      const timer = setTimeout(() => settle(false), timeoutMs);
      this.#waiters.add(settle);
    });
  }

  /** Closes the link for good. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#redialTimer);
    this.#socket?.terminate();
  }

  /**
   * Closes the link for good once the other instance has read all that was sent.
   * Until it closes its side as well, its messages are received.
   */
  closeWhenRead(): void {
    const socket = this.#socket;
    if (!this.#isUp || socket === undefined) {
      this.stop();
      return;
    }
    this.#isStopped = true;
    const timer = setTimeout(() => socket.terminate(), REPLACE_TIMEOUT_MS);
    socket.on("close", () => clearTimeout(timer));
    socket.on("pong", (data) => {
      if (data.equals(LAST_PING)) socket.close();
    });
    socket.ping(LAST_PING);
  }

  /**
   * Pings the other instance after silence, and closes an unanswered link.
   *
   * A connection can fail without being closed; only a ping detects that.
   */
  check(): void {
    const socket = this.#socket;
    if (!this.#isUp || socket === undefined) return;
    const silentMs = performance.now() - this.#lastReceivedAt;
    if (silentMs > SILENCE_TIMEOUT_MS) {
      socket.terminate();
      this.#onClose(socket);
      return;
    }
    if (silentMs >= PING_INTERVAL_MS) socket.ping();
  }

  #dial(): void {
    const { self, peer, secret, security, memory, path } = this.#options;
    const { socket } = dialPeer({
      self,
      peer,
      secret,
      security,
      path: path ?? PeerPath.Link,
      memory,
      onAuthenticated: () => this.#onAuthenticated(socket),
    });
    this.#socket = socket;
    socket.on("pong", () => {
      this.#lastReceivedAt = performance.now();
    });
    socket.on("close", () => this.#onClose(socket));
  }

  #onAuthenticated(socket: WebSocket): void {
    this.#redialDelayMs = MIN_REDIAL_DELAY_MS;
    socket.on("message", (message: Buffer) => {
      this.#lastReceivedAt = performance.now();
      this.#options.onReceived(message.length);
      const envelope = decodeEnvelope(message);
      if (envelope === undefined) socket.terminate();
      else this.#options.onMessage(envelope);
    });
    this.#lastReceivedAt = performance.now();
    this.#setIsUp(true);
  }

  #onClose(socket: WebSocket): void {
    if (socket !== this.#socket) return;
    this.#socket = undefined;
    this.#setIsUp(false);
    if (this.#isStopped) return;
    this.#redialTimer = setTimeout(() => this.#dial(), this.#redialDelayMs);
    this.#redialDelayMs = Math.min(
      MAX_REDIAL_DELAY_MS,
      this.#redialDelayMs * 2,
    );
  }

  #setIsUp(isUp: boolean): void {
    if (this.#isUp === isUp) return;
    this.#isUp = isUp;
    if (isUp) { for (const settle of [...this.#waiters]) settle(true); }
    this.#options.onChange(isUp);
  }
}

/** Encodes and sends a message, unless the connection's buffer is full. */
export function sendEncoded(
  socket: WebSocket,
  options: {
    readonly encode: () => Buffer;
    readonly onSent: (bytes: number) => void;
    readonly memory: LinkMemory;
  },
): boolean {
  const { encode, onSent, memory } = options;
  if (socket.bufferedAmount > MAX_BUFFERED_BYTES) return false;
  if (!memory.hasRoomToSend && socket.bufferedAmount > 0) return false;
  const bytes = encode();
  onSent(bytes.length);
  memory.send(socket, bytes);
  return true;
}

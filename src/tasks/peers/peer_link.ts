/** The outgoing connection to one other instance. */
import { WebSocket } from "ws";
import type { PeerSettings } from "../../settings/mod.ts";
import { createNonce, createProof, isProofOf } from "./peer_handshake.ts";
import {
  decodeEnvelope,
  encodeEnvelope,
  type PeerEnvelope,
} from "./peer_envelope.ts";

/** Certificates of a link. */
export interface LinkSecurity {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
}

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  /** This instance. */
  readonly self: string;
  /** The other instance. */
  readonly peer: PeerSettings;
  /** Secret that all instances share; empty where certificates prove. */
  readonly secret: string;
  /** Gets the certificates; undefined for a plain connection. */
  readonly security: () => LinkSecurity | undefined;
  /** Hears that the link is up or down. */
  readonly onChange: (isUp: boolean) => void;
  /** Counts sent bytes. */
  readonly onSent: (bytes: number) => void;
  /** Takes a message that came on this connection. */
  readonly onMessage: (envelope: PeerEnvelope) => void;
  /** Counts received bytes. */
  readonly onReceived: (bytes: number) => void;
}

/** Silence after which the other side is asked for a sign of life. */
export const PING_INTERVAL_MS = 500;
/** Silence after which a link counts as dead although it is not closed. */
export const SILENCE_LIMIT_MS = 1_800;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;
const HANDSHAKE_TIMEOUT_MS = 1_500;
/** Bytes that wait on a slow link before messages are dropped. */
const MAX_BUFFERED_BYTES = 33_554_432;

/** Dials one instance again and again, and sends to it. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  #socket: WebSocket | undefined;
  #isUp = false;
  #isStopped = false;
  #pauseMs = FIRST_PAUSE_MS;
  #timer: NodeJS.Timeout | undefined;
  #heardAt = 0;
  readonly #waiters = new Set<(isUp: boolean) => void>();

  /** Creates the link and dials. */
  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#dial();
  }

  /** Gets whether messages can be sent. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Sends a message; it is lost where the link is down or too slow. */
  send(envelope: PeerEnvelope): boolean {
    return this.sendBytes(() => encodeEnvelope(envelope));
  }

  /** Sends a message whose bytes are asked for where they can be sent. */
  sendBytes(encode: () => Buffer): boolean {
    const socket = this.#socket;
    if (!this.#isUp || socket === undefined) return false;
    return sendOn(socket, { encode, onSent: this.#options.onSent });
  }

  /** Waits until messages can be sent, at most for a time. */
  whenUp(timeoutMs: number): Promise<boolean> {
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

  /** Ends the link. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#socket?.terminate();
  }

  /**
   * Asks for a sign of life after silence, and ends a link without one.
   *
   * A connection can fall silent without an end; only pings show it.
   */
  check(): void {
    const socket = this.#socket;
    if (!this.#isUp || socket === undefined) return;
    const silentMs = performance.now() - this.#heardAt;
    if (silentMs > SILENCE_LIMIT_MS) {
      socket.terminate();
      this.#onClose(socket);
      return;
    }
    if (silentMs >= PING_INTERVAL_MS) socket.ping();
  }

  #dial(): void {
    const { peer } = this.#options;
    const security = this.#options.security();
    const { host, port } = peer.address;
    const name = host.includes(":") ? `[${host}]` : host;
    const scheme = security === undefined ? "ws" : "wss";
    const socket = new WebSocket(`${scheme}://${name}:${port}/peer`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      perMessageDeflate: false,
      cert: security?.cert,
      key: security?.key,
      ca: security?.ca,
      checkServerIdentity: acceptsAnyName,
    });
    this.#socket = socket;
    const nonce = createNonce();
    const { self, secret } = this.#options;
    socket.on("open", () => socket.send(JSON.stringify({ id: self, nonce })));
    socket.once("message", (data: Buffer) => {
      const answer = parseAnswer(data);
      const proof = { secret, id: peer.id, to: self, nonce };
      if (answer === undefined || !isProofOf(proof, answer.proof)) {
        socket.terminate();
        return;
      }
      const own = { secret, id: self, to: peer.id, nonce: answer.nonce };
      socket.send(JSON.stringify({ proof: createProof(own) }));
      this.#pauseMs = FIRST_PAUSE_MS;
      socket.on("message", (message: Buffer) => {
        this.#heardAt = performance.now();
        this.#options.onReceived(message.length);
        const envelope = decodeEnvelope(message);
        if (envelope === undefined) socket.terminate();
        else this.#options.onMessage(envelope);
      });
      this.#heardAt = performance.now();
      this.#setUp(true);
    });
    socket.on("pong", () => {
      this.#heardAt = performance.now();
    });
    socket.on("error", () => {});
    socket.on("close", () => this.#onClose(socket));
  }

  #onClose(socket: WebSocket): void {
    if (socket !== this.#socket) return;
    this.#socket = undefined;
    this.#setUp(false);
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => this.#dial(), this.#pauseMs);
    this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
  }

  #setUp(isUp: boolean): void {
    if (this.#isUp === isUp) return;
    this.#isUp = isUp;
    if (isUp) { for (const settle of [...this.#waiters]) settle(true); }
    this.#options.onChange(isUp);
  }
}

/**
 * Accepts a certificate of the authority whatever its name: addresses are IP
 * numbers, and the instance proves its identity in the handshake. Node takes
 * undefined for acceptance, where the type asks for a boolean.
 */
const acceptsAnyName = (() => undefined) as unknown as () => boolean;

/** Sends bytes, unless too many wait on the connection already. */
export function sendOn(
  socket: WebSocket,
  options: {
    readonly encode: () => Buffer;
    readonly onSent: (bytes: number) => void;
  },
): boolean {
  if (socket.bufferedAmount > MAX_BUFFERED_BYTES) return false;
  const bytes = options.encode();
  options.onSent(bytes.length);
  socket.send(bytes);
  return true;
}

function parseAnswer(
  data: Buffer,
): { nonce: string; proof: string } | undefined {
  try {
    const { nonce, proof } = JSON.parse(data.toString());
    const isAnswer = typeof nonce === "string" && typeof proof === "string";
    return isAnswer ? { nonce, proof } : undefined;
  } catch {
    return undefined;
  }
}

/** A connection dialled and authenticated by another instance. */
import type { WebSocket } from "ws";
import type { LinkMemory } from "./link_memory.ts";
import { encodeEnvelope, type PeerEnvelope } from "./peer_envelope.ts";
import { sendEncoded, SILENCE_TIMEOUT_MS } from "./peer_link.ts";

/** Options of {@link AcceptedLink}. */
export interface AcceptedLinkOptions {
  /** ID of the other instance. */
  readonly peer: string;
  readonly socket: WebSocket;
  /** Memory of all links. */
  readonly memory: LinkMemory;
  /** Called with the size of each message sent, in bytes. */
  readonly onSent: (bytes: number) => void;
}

/** Sends messages on an incoming connection, and closes it if it is silent. */
export class AcceptedLink {
  readonly peer: string;
  readonly #options: AcceptedLinkOptions;
  #lastReceivedAt = performance.now();

  constructor(options: AcceptedLinkOptions) {
    this.#options = options;
    this.peer = options.peer;
    options.socket.on("ping", () => this.recordReceived());
  }

  get isUp(): boolean {
    const { socket } = this.#options;
    return socket.readyState === socket.OPEN;
  }

  /** Records that data has been received. */
  recordReceived(): void {
    this.#lastReceivedAt = performance.now();
  }

  /** Sends a message; drops it if the link is closed or its buffer is full. */
  send(envelope: PeerEnvelope): boolean {
    return this.sendBytes(() => encodeEnvelope(envelope));
  }

  /** Sends a message that is encoded only if it can be sent. */
  sendBytes(encode: () => Buffer): boolean {
    const { socket, onSent, memory } = this.#options;
    return this.isUp && sendEncoded(socket, { encode, onSent, memory });
  }

  /** Closes the connection if nothing was received for too long. */
  closeIfSilent(): void {
    const silentMs = performance.now() - this.#lastReceivedAt;
    if (silentMs > SILENCE_TIMEOUT_MS) this.#options.socket.terminate();
  }
}

/** A connection that another instance has dialled and proved. */
import type { WebSocket } from "ws";
import { encodeEnvelope, type PeerEnvelope } from "./peer_envelope.ts";
import { sendOn, SILENCE_LIMIT_MS } from "./peer_link.ts";

/** Options of {@link AcceptedLink}. */
export interface AcceptedLinkOptions {
  /** The other instance. */
  readonly peer: string;
  readonly socket: WebSocket;
  /** Counts sent bytes. */
  readonly onSent: (bytes: number) => void;
}

/** Sends to the instance that keeps the connection up. */
export class AcceptedLink {
  readonly peer: string;
  readonly #options: AcceptedLinkOptions;
  #heardAt = performance.now();

  /** Creates the link of a connection that is open. */
  constructor(options: AcceptedLinkOptions) {
    this.#options = options;
    this.peer = options.peer;
    options.socket.on("ping", () => this.hear());
  }

  /** Gets whether messages can be sent. */
  get isUp(): boolean {
    const { socket } = this.#options;
    return socket.readyState === socket.OPEN;
  }

  /** Records a sign of life. */
  hear(): void {
    this.#heardAt = performance.now();
  }

  /** Sends a message; it is lost where the connection is closed or too slow. */
  send(envelope: PeerEnvelope): boolean {
    return this.sendBytes(() => encodeEnvelope(envelope));
  }

  /** Sends a message whose bytes are asked for where they can be sent. */
  sendBytes(encode: () => Buffer): boolean {
    const { socket, onSent } = this.#options;
    return this.isUp && sendOn(socket, { encode, onSent });
  }

  /** Ends the connection where nothing has come for long. */
  endIfSilent(): void {
    const silentMs = performance.now() - this.#heardAt;
    if (silentMs > SILENCE_LIMIT_MS) this.#options.socket.terminate();
  }
}

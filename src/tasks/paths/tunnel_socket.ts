/** The bytes of one connection to a target, carried between two instances. */
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { RawData, WebSocket } from "ws";
import { ConnectionResetError } from "./connection_reset.ts";

/** Code by which a side closes that has passed on all bytes. */
const NORMAL_CLOSURE = 1_000;

/** Options of {@link TunnelSocket}. */
export interface TunnelSocketOptions {
  /** Authenticated connection between the instances. */
  readonly socket: WebSocket;
  /** The connection that carries it. */
  readonly connection: Pick<Socket, "resetAndDestroy">;
}

/**
 * Carries bytes in binary messages, and what the instances say to each other of
 * the tunnel in text messages. The end of the bytes is a close of its own, so the
 * loss of the other instance never looks like one.
 */
export class TunnelSocket extends Duplex {
  readonly #socket: WebSocket;
  readonly #connection: Pick<Socket, "resetAndDestroy">;
  #bytesRead = 0;

  constructor({ socket, connection }: TunnelSocketOptions) {
    super({ allowHalfOpen: false });
    this.#socket = socket;
    this.#connection = connection;
    // The loss of an unused tunnel has no other consequence.
    this.on("error", () => {});
    socket.on("message", (data, isBinary) => this.#onMessage(data, isBinary));
    socket.on("close", (code) => this.#onClose(code));
  }

  /** Gets the number of bytes that have arrived. */
  get bytesRead(): number {
    return this.#bytesRead;
  }

  /** Called with each text message of the other instance. */
  onText: (text: string) => void = () => {};

  /** Sends a text message to the other instance. */
  sendText(text: string): void {
    this.#socket.send(text, () => {
      // A lost connection is reported by its close.
    });
  }

  /** Closes the tunnel with a reset: bytes on the way are dropped. */
  resetAndDestroy(): this {
    this.#connection.resetAndDestroy();
    return this.destroy();
  }

  override _read(): void {
    this.#socket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (err?: Error | null) => void,
  ): void {
    this.#socket.send(chunk, callback);
  }

  override _final(callback: (err?: Error | null) => void): void {
    this.#socket.close(NORMAL_CLOSURE);
    callback();
  }

  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    if (err === null) this.#socket.close(NORMAL_CLOSURE);
    else this.#connection.resetAndDestroy();
    callback(err);
  }

  #onMessage(data: RawData, isBinary: boolean): void {
    if (!isBinary) {
      this.onText(data.toString());
      return;
    }
    const bytes = data as Buffer;
    this.#bytesRead += bytes.length;
    if (!this.push(bytes)) this.#socket.pause();
  }

  #onClose(code: number): void {
    if (code === NORMAL_CLOSURE) this.push(null);
    else this.destroy(new ConnectionResetError("The tunnel was lost"));
  }
}

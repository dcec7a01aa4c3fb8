/** Bytes without end, sent as fast as the other side reads. */
import type { Socket } from "node:net";

/** What is sent once, and what without end after it. */
export interface EndlessBytes {
  readonly first: string | Buffer;
  /** Absent where nothing follows, so that the connection is held. */
  readonly repeated?: string | Buffer;
  /** Whether the responses are left unread. */
  readonly isDeaf?: boolean;
}

const BLOCK_BYTES = 65_536;

/** Sends bytes on a connection until it is closed. */
export class EndlessWriter {
  readonly #socket: Socket;
  readonly #block: Buffer | undefined;

  constructor(socket: Socket, bytes: EndlessBytes) {
    this.#socket = socket;
    const { first, repeated, isDeaf } = bytes;
    this.#block = repeated === undefined ? undefined : fillBlock(repeated);
    socket.on("error", () => {});
    if (isDeaf) socket.pause();
    else socket.resume();
    socket.write(first);
    this.#sendOn();
  }

  #sendOn(): void {
    const block = this.#block;
    if (block === undefined) return;
    while (!this.#socket.destroyed) {
      if (this.#socket.write(block)) continue;
      this.#socket.once("drain", () => this.#sendOn());
      return;
    }
  }
}

/** Repeats bytes as a whole, up to about the size of a block. */
function fillBlock(repeated: string | Buffer): Buffer {
  const part = Buffer.from(repeated);
  const count = Math.max(1, Math.floor(BLOCK_BYTES / part.length));
  return Buffer.concat(Array.from({ length: count }, () => part));
}

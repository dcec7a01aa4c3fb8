/** Memory for the messages of all links of an instance. */
import type { Socket } from "node:net";
import type { WebSocket } from "ws";
import type { Metrics } from "../../metrics/mod.ts";
import { RECLAIMER } from "../memory/mod.ts";
import { BodyPool, type PooledBody } from "../bodies/mod.ts";

/**
 * Size of the largest message, and of all that have arrived in part, in bytes.
 * It holds a policy of the largest size, and a snapshot that builds without
 * parts send from a heap of a ledger instance.
 */
export const MAX_MESSAGE_BYTES = 67_108_864;
/** Bytes that may wait to be sent where the machine is not known. */
const MAX_UNSENT_BYTES = 67_108_864;
/**
 * Bytes that a connection may send before it is authenticated. The last part of
 * its handshake may arrive together with the beginning of messages.
 */
const MAX_HANDSHAKE_BYTES = 131_072;

/** Options of {@link LinkMemory}. */
export interface LinkMemoryOptions {
  readonly metrics: Pick<Metrics, "count" | "gauge">;
  /** Bytes of messages that may have arrived in part, on all links together. */
  readonly maxReceivedBytes?: number | undefined;
  /** Bytes that may wait to be sent on all links together. */
  readonly maxUnsentBytes?: number | undefined;
  /** Called with the reason when a connection is closed at a bound. */
  readonly onOverrun: (detail: string) => void;
}

/** The part of a message that has arrived on a connection. */
interface PartialMessage extends PooledBody {
  size: number;
  refuse: (() => void) | undefined;
}

/**
 * Bounds what arrives on all connections before a message is whole, and what
 * waits to be sent. At the bound, the connection with the largest part is closed.
 *
 * @example
 * ```ts
 * const trust = memory.watch(socket, connection, "10.0.0.1");
 * trust(); // once the other side is authenticated
 * ```
 */
export class LinkMemory {
  readonly #options: LinkMemoryOptions;
  readonly #received: BodyPool;
  readonly #maxUnsentBytes: number;
  #unsentBytes = 0;

  constructor(options: LinkMemoryOptions) {
    this.#options = options;
    const { maxReceivedBytes, maxUnsentBytes } = options;
    this.#received = new BodyPool(maxReceivedBytes ?? MAX_MESSAGE_BYTES);
    this.#maxUnsentBytes = maxUnsentBytes ?? MAX_UNSENT_BYTES;
  }

  /** Gets the bytes of messages that have arrived in part. */
  get heldBytes(): number {
    return this.#received.heldBytes;
  }

  /** Gets whether what waits to be sent leaves room for more. */
  get hasRoomToSend(): boolean {
    return this.#unsentBytes <= this.#maxUnsentBytes;
  }

  /**
   * Counts what arrives on a connection, which has a small bound at first.
   * @param from - The other side, for the reason.
   * @returns Function that gives it the bound of messages.
   */
  watch(socket: WebSocket, connection: Socket, from: string): () => void {
    let maxBytes = MAX_HANDSHAKE_BYTES;
    const close = (detail: string) => {
      this.#received.remove(part);
      part.refuse = undefined;
      this.#options.metrics.count("connections.overrun");
      this.#options.onOverrun(`${detail} from ${from}; connection closed`);
      socket.terminate();
    };
    const part: PartialMessage = {
      size: 0,
      get expectedSize() {
        return part.size;
      },
      refuse: () => close("message without an end"),
    };
    const empty = () => {
      this.#received.remove(part);
      RECLAIMER.addBuffer(part.size);
      part.size = 0;
    };
    // Counted first, since the messages that they complete empty the part.
    connection.prependListener("data", (bytes) => {
      if (part.refuse === undefined) return;
      if (part.size + bytes.length > maxBytes) {
        close("message too large");
        return;
      }
      part.size += bytes.length;
      RECLAIMER.addShortLived(bytes.length);
      this.#received.update(part);
    });
    socket.on("message", empty);
    socket.on("close", () => {
      part.refuse = undefined;
      empty();
    });
    return () => maxBytes = MAX_MESSAGE_BYTES;
  }

  /** Sends a message, and counts it until it has been passed on. */
  send(socket: WebSocket, bytes: Buffer): void {
    this.#unsentBytes += bytes.length;
    socket.send(bytes, () => {
      this.#unsentBytes -= bytes.length;
      RECLAIMER.addBuffer(bytes.length);
    });
  }

  /** Records what is held. */
  record(): void {
    const { metrics } = this.#options;
    metrics.gauge("peers.heldBytes", this.heldBytes);
    metrics.gauge("peers.unsentBytes", this.#unsentBytes);
  }
}

/** Connections for large messages, beside the links of an instance. */
import type { PeerEnvelope } from "./peer_envelope.ts";
import type { PeerLink } from "./peer_link.ts";

/** Options of {@link BulkLinks}. */
export interface BulkLinksOptions {
  /** Dials an instance; undefined if it is unknown. */
  readonly dial: (id: string) => PeerLink | undefined;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

/** The connections to one instance. */
interface BulkGroup {
  readonly links: readonly PeerLink[];
  usedAt: number;
}

/**
 * Connections to one instance. What a connection carries in a round trip is
 * limited by its window, whatever the network bears.
 */
const CONNECTIONS = 4;
/** Time without a message after which the connections are closed. */
const IDLE_TIMEOUT_MS = 5_000;

/**
 * Spreads large messages over several connections, so that they neither wait for
 * each other nor hold up other messages. They may arrive in any order.
 *
 * @example
 * ```ts
 * const isSent = bulk.send("10.0.0.2", envelope) || link.send(envelope);
 * ```
 */
export class BulkLinks {
  readonly #options: BulkLinksOptions;
  readonly #groups = new Map<string, BulkGroup>();

  constructor(options: BulkLinksOptions) {
    this.#options = options;
  }

  /**
   * Sends a message on the connection with the least to send, and dials the
   * instance if that is necessary.
   * @returns Whether a connection is open and took the message.
   */
  send(to: string, envelope: PeerEnvelope): boolean {
    const [link] = this.#getGroup(to).links
      .filter(({ isUp }) => isUp)
      .sort((a, b) => a.bufferedBytes - b.bufferedBytes);
    return link?.send(envelope) ?? false;
  }

  /** Closes the connections that are idle, and checks the others. */
  check(): void {
    const idleBefore = this.#options.now() - IDLE_TIMEOUT_MS;
    for (const [id, { links, usedAt }] of this.#groups) {
      if (usedAt < idleBefore) this.close(id);
      else links.forEach((link) => link.check());
    }
  }

  /** Closes the connections to an instance. */
  close(id: string): void {
    this.#groups.get(id)?.links.forEach((link) => link.stop());
    this.#groups.delete(id);
  }

  /** Closes all connections. */
  stop(): void {
    for (const id of [...this.#groups.keys()]) this.close(id);
  }

  #getGroup(id: string): BulkGroup {
    const usedAt = this.#options.now();
    const known = this.#groups.get(id);
    if (known !== undefined) {
      known.usedAt = usedAt;
      return known;
    }
    const links = Array.from(
      { length: CONNECTIONS },
      () => this.#options.dial(id),
    ).filter((link) => link !== undefined);
    const group = { links, usedAt };
    this.#groups.set(id, group);
    return group;
  }
}

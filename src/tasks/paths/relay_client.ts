/** Connections to targets that other instances open and forward. */
import type { PeerHub } from "../peers/mod.ts";
import { RelayError } from "./relay_error.ts";
import {
  RelayRefusal,
  type RelayReply,
  type RelayRequest,
} from "./relay_message.ts";
import { RelayedSocket } from "./relayed_socket.ts";

/** Options of {@link RelayClient}. */
export interface RelayClientOptions {
  readonly hub: Pick<PeerHub, "dialTunnel">;
  /** Finds the instances that may relay, best first. */
  readonly findRelays: () => Promise<readonly string[]>;
}

/** Opens connections to targets through other instances. */
export class RelayClient {
  readonly #options: RelayClientOptions;

  constructor(options: RelayClientOptions) {
    this.#options = options;
  }

  /** Gets the instances that may relay, best first. */
  async candidates(): Promise<readonly string[]> {
    try {
      return await this.#options.findRelays();
    } catch {
      // Without an answer there is no other way than the direct one.
      return [];
    }
  }

  /**
   * Opens a connection to an address through an instance.
   * @param signal - Gives the attempt up.
   * @throws RelayError if the instance does not open it.
   */
  open(
    instance: string,
    address: string,
    signal: AbortSignal,
  ): Promise<RelayedSocket> {
    return new Promise((resolve, reject) => {
      let isSettled = false;
      const settle = (reply: RelayReply) => {
        if (isSettled) return;
        isSettled = true;
        signal.removeEventListener("abort", onLost);
        if (reply.type === "opened" && socket !== undefined) {
          resolve(socket);
          return;
        }
        dialled?.connection.resetAndDestroy();
        reject(new RelayError(reasonOf(reply)));
      };
      const onLost = () => settle(LOST);
      let socket: RelayedSocket | undefined;
      const dialled = this.#options.hub.dialTunnel(instance, () => {
        if (dialled === undefined) return;
        socket = new RelayedSocket(dialled, settle);
        socket.sendText(JSON.stringify({ address } satisfies RelayRequest));
      });
      signal.addEventListener("abort", onLost, { once: true });
      if (dialled === undefined) onLost();
      else dialled.socket.once("close", onLost);
    });
  }
}

const LOST: RelayReply = { type: "refused", reason: RelayRefusal.Lost };

function reasonOf(reply: RelayReply): RelayRefusal {
  return reply.type === "refused" ? reply.reason : RelayRefusal.Lost;
}

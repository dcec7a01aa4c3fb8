/** A connection to a target that another instance has opened. */
import { decodeRelayReply, type RelayReply } from "./relay_message.ts";
import { TunnelSocket, type TunnelSocketOptions } from "./tunnel_socket.ts";

/** Carries one connection; says when the other instance drains. */
export class RelayedSocket extends TunnelSocket {
  #isDraining = false;

  /**
   * Creates the socket of an authenticated tunnel.
   * @param onReply - Called with what the other instance says of the tunnel.
   */
  constructor(
    options: TunnelSocketOptions,
    onReply: (reply: RelayReply) => void,
  ) {
    super(options);
    this.onText = (text) => {
      const reply = decodeRelayReply(text);
      if (reply === undefined) {
        this.resetAndDestroy();
        return;
      }
      if (reply.type === "draining") this.#isDraining = true;
      if (this.#isDraining) this.emit("draining");
      onReply(reply);
    };
  }

  /** Gets whether the other instance drains: no further request may be sent. */
  get isDraining(): boolean {
    return this.#isDraining;
  }
}

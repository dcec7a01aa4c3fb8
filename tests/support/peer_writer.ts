/** A peer of a fleet that sends what no instance of this build would send. */
import { Packr } from "msgpackr";
import {
  type DialledPeer,
  dialPeer,
  PeerPath,
} from "../../src/tasks/peers/mod.ts";
import { type FleetDeployment, PROXIED_PORTS } from "./fleet_deployment.ts";

const HOST_OCTET = 90;
const PLAIN_ENCODING = 0;
const ARRAY_OF_ONE = 0x91;
const EMPTY_ARRAY = 0x90;
/** Encoded as nested arrays; the library's own encoder is recursive. */
const NESTED = "nested";
const RESEND_MS = 500;

const packr = new Packr({ useRecords: false });

/** Value that is sent as arrays nested to a depth. */
export const NESTED_VALUE: unknown = NESTED;

/** Writes messages to all instances of a fleet over links of its own. */
export class PeerWriter {
  readonly #id: string;
  readonly #fleet: FleetDeployment;
  readonly #depth: number;
  #peers: DialledPeer[] = [];
  #timer: NodeJS.Timeout | undefined;

  /** @param depth - Depth to which {@link NESTED_VALUE} is nested. */
  constructor(fleet: FleetDeployment, depth: number) {
    this.#fleet = fleet;
    this.#depth = depth;
    this.#id = fleet.machines[0].id.replace(/\d+$/, String(HOST_OCTET));
  }

  /** Opens the links. */
  async start(): Promise<this> {
    await Promise.all(this.#fleet.machines.map(({ id }) => this.#dial(id)));
    return this;
  }

  /** Sends a message to all instances now, and again until it is stopped. */
  write(channel: string, body: unknown): void {
    const bytes = this.#encode({ channel, body });
    const send = () => {
      for (const { socket } of this.#peers) {
        if (socket.readyState === socket.OPEN) socket.send(bytes);
      }
    };
    send();
    this.#timer = setInterval(send, RESEND_MS);
  }

  /** Closes the links. */
  stop(): void {
    clearInterval(this.#timer);
    for (const { socket } of this.#peers) socket.terminate();
    this.#peers = [];
  }

  #dial(id: string): Promise<void> {
    const address = { host: id, port: PROXIED_PORTS.dialled };
    return new Promise((resolve) => {
      this.#peers.push(dialPeer({
        self: this.#id,
        peer: { id, dataCentre: "a", address, control: false },
        secret: "",
        security: () => undefined,
        path: PeerPath.Link,
        onAuthenticated: resolve,
      }));
    });
  }

  #encode(envelope: unknown): Buffer {
    const marker = packr.pack(NESTED);
    let bytes = Buffer.from(packr.pack(envelope));
    const nested = Buffer.concat([
      Buffer.alloc(this.#depth, ARRAY_OF_ONE),
      Buffer.of(EMPTY_ARRAY),
    ]);
    for (
      let at = 0;
      (at = bytes.indexOf(marker, at)) >= 0;
      at += nested.length
    ) {
      const end = at + marker.length;
      bytes = Buffer.concat([
        bytes.subarray(0, at),
        nested,
        bytes.subarray(end),
      ]);
    }
    return Buffer.concat([Buffer.of(PLAIN_ENCODING), bytes]);
  }
}

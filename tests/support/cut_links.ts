/** Connections of one instance to targets, which a test can cut. */
import { connect, Socket } from "node:net";
import { FaultProxy, LinkState } from "../../soak/fleet/fault_proxy.ts";
import type { Dial } from "../../src/tasks/paths/mod.ts";

/** What a cut does to the connections of an instance. */
export const CutKind = {
  /** Nothing passes on open connections, and new ones get no answer. */
  Hang: "hang",
  /** Open connections are reset, and new ones refused. */
  Reset: "reset",
  /** Open connections stay open, and new ones are refused. */
  RefuseNew: "refuseNew",
  /** Nothing passes on open connections, and new ones are established. */
  HangOpen: "hangOpen",
} as const;

/** One of the values of {@link CutKind}. */
export type CutKind = typeof CutKind[keyof typeof CutKind];

const HOST = "127.0.0.1";
/** Nothing listens on this port of the loopback address. */
const CLOSED_PORT = 1;

/** Proxies before one target: one for the connections of either side of a cut. */
interface TargetProxies {
  readonly before: FaultProxy;
  readonly during: FaultProxy;
}

/** Owns the proxies through which an instance connects to targets. */
export class CutLinks {
  readonly #proxies = new Map<string, TargetProxies>();
  #cut: CutKind | undefined;
  #dialled = 0;

  /** Gets the number of connections that were dialled. */
  get dialled(): number {
    return this.#dialled;
  }

  /** Places proxies before a target. */
  async add(address: string): Promise<void> {
    const targetPort = Number(address.split(":")[1]);
    const options = { host: HOST, port: 0, targetPort };
    this.#proxies.set(address, {
      before: await new FaultProxy(options).start(),
      during: await new FaultProxy(options).start(),
    });
  }

  /** Dials a target, as the cut allows. */
  readonly dial: Dial = ({ host, port }) => {
    this.#dialled += 1;
    if (this.#cut === CutKind.Hang) return new Socket();
    return connect(this.#portOf(`${host}:${port}`), HOST);
  };

  /** Cuts the instance from all targets. */
  cut(kind: CutKind): void {
    this.#cut = kind;
    for (const { before } of this.#proxies.values()) {
      if (kind === CutKind.Hang || kind === CutKind.HangOpen) {
        before.setState(LinkState.Silent);
      }
      if (kind === CutKind.Reset) before.reset();
    }
  }

  /** Ends the cut; what open connections held back arrives then. */
  heal(): void {
    this.#cut = undefined;
    for (const { before } of this.#proxies.values()) {
      before.setState(LinkState.Clear);
    }
  }

  /** Closes the proxies and resets their connections. */
  stop(): void {
    for (const { before, during } of this.#proxies.values()) {
      before.stop();
      during.stop();
    }
  }

  #portOf(address: string): number {
    const proxies = this.#proxies.get(address);
    const isRefused = this.#cut === CutKind.Reset ||
      this.#cut === CutKind.RefuseNew;
    if (proxies === undefined || isRefused) return CLOSED_PORT;
    const { before, during } = proxies;
    return this.#cut === CutKind.HangOpen ? during.port : before.port;
  }
}

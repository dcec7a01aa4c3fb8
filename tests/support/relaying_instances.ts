/** Instances that reach the same targets, each by links that a test can cut. */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import {
  createRelayedPaths,
  type Dial,
  RelayServer,
  type TargetPaths,
} from "../../src/tasks/paths/mod.ts";
import { PeerHub } from "../../src/tasks/peers/mod.ts";
import { CutLinks } from "./cut_links.ts";
import type { LoopbackNet } from "./loopback_net.ts";

const PEER_PORT = 17_020;
const FIRST_HOST_OCTET = 100;
/** Long enough that a busy machine establishes a connection in it. */
const CONNECT_TIMEOUT_MS = 2_000;

/** An instance with its paths to targets. */
export interface RelayingInstance {
  readonly id: string;
  readonly links: CutLinks;
  readonly hub: PeerHub;
  readonly paths: TargetPaths;
  readonly relays: RelayServer;
  /** Lets time pass for the relay server that its process does not notice. */
  readonly suspend: (ms: number) => void;
}

/** A target that counts what it runs. */
export interface CountingTarget {
  readonly address: string;
  /** Identifiers of the requests that were run, in order. */
  readonly ran: string[];
  readonly server: Server;
  readonly sockets: Set<Socket>;
}

/** Handles a request at a target. */
export type TargetHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

/** Starts a target whose handler runs after the request is counted. */
export async function startTarget(
  idHeader: string,
  handler: TargetHandler,
): Promise<CountingTarget> {
  const ran: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((req, res) => {
    const id = String(req.headers[idHeader]);
    ran.push(id);
    res.setHeader(idHeader, id);
    handler(req, res);
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, ran, server, sockets };
}

/** Stops a target: its connections are reset and new ones refused. */
export function stopTarget({ server, sockets }: CountingTarget): void {
  server.close();
  for (const socket of sockets) socket.resetAndDestroy();
}

/** Starts instances that relay for each other. */
export async function startInstances(
  net: LoopbackNet,
  options: {
    readonly count: number;
    readonly targets: readonly Pick<CountingTarget, "address">[];
    /** Opens the connections of each instance, in place of its links. */
    readonly dials?: readonly Dial[];
  },
): Promise<RelayingInstance[]> {
  const ids = Array.from(
    { length: options.count },
    (_, i) => net.addressOf(FIRST_HOST_OCTET + i),
  );
  const instances: RelayingInstance[] = [];
  for (const [i, id] of ids.entries()) {
    const links = new CutLinks();
    for (const { address } of options.targets) await links.add(address);
    const hub = createHub(id);
    await hub.start();
    const logger = new Logger({ instance: id, level: "error" });
    const metrics = new Metrics({ tags: {} });
    const others = ids.filter((other) => other !== id);
    const paths = createRelayedPaths({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      dial: options.dials?.[i] ?? links.dial,
      hub,
      findRelays: () => Promise.resolve(others),
      logger,
      metrics,
      onCutOffChanged: () => {},
    });
    let suspendedMs = 0;
    const relays = new RelayServer({
      hub,
      paths,
      isTarget: (address) =>
        options.targets.some((target) => target.address === address),
      clock: { now: () => performance.now() + suspendedMs },
      logger,
      metrics,
    });
    const suspend = (ms: number) => void (suspendedMs += ms);
    instances.push({ id, links, hub, paths, relays, suspend });
  }
  return instances;
}

/** Stops an instance at once; its connections are closed. */
export function stopInstance({ relays, hub, links }: RelayingInstance): void {
  relays.stop();
  hub.stop();
  links.stop();
}

function createHub(id: string): PeerHub {
  return new PeerHub({
    settings: {
      id,
      dataCentre: "a",
      peers: [],
      peerListen: { host: id, port: PEER_PORT },
      tls: {},
    },
    findPeer: (other) => ({
      id: other,
      dataCentre: "a",
      address: { host: other, port: PEER_PORT },
      control: false,
    }),
    logger: new Logger({ instance: id, level: "error" }),
    metrics: new Metrics({ tags: {} }),
    presence: () => ({ ledger: id, incarnation: id, isDraining: false }),
    presenceRecipients: () => [],
  });
}

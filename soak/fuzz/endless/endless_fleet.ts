/** A fleet under the limits of its roles, beside parties that send without end. */
import { connect, type Socket } from "node:net";
import { FleetRole } from "../../../src/core/fleet/mod.ts";
import { dialPeer, PeerPath } from "../../../src/tasks/peers/mod.ts";
import {
  FLEET_PROGRAM,
  type FleetMachine,
  PROXIED_PORTS,
  sleep,
} from "../../../tests/support/fleet_deployment.ts";
import {
  FLEET_KEY,
  FleetFixture,
} from "../../../tests/support/fleet_fixture.ts";
import {
  FLEET_NAMES,
  fleetPolicy,
} from "../../../tests/support/fleet_policy.ts";
import { SMALLEST_MACHINES } from "../../../tests/support/crowds/crowd_fleet.ts";
import { readResidentMb } from "../../../tests/support/process_memory.ts";
import { readNodeOptions } from "../../../tests/support/node_options.ts";
import { type EndlessBytes, EndlessWriter } from "./endless_writer.ts";

/** Memory of the machines of each role, in megabytes. */
export type MachineMemory = Readonly<Record<FleetRole, number>>;

/** Kinds of machines. */
export const MACHINES = {
  usual: {
    [FleetRole.Entry]: 350,
    [FleetRole.Control]: 346,
    [FleetRole.Ledger]: 390,
  },
  smallest: {
    [FleetRole.Entry]: SMALLEST_MACHINES.entry.memoryMb,
    [FleetRole.Control]: SMALLEST_MACHINES.control.memoryMb,
    [FleetRole.Ledger]: SMALLEST_MACHINES.ledger.memoryMb,
  },
} as const satisfies Readonly<Record<string, MachineMemory>>;
const SAMPLE_MS = 100;
const PROBE_MS = 200;
const CONTACT_MS = 3_000;
const CALL_TIMEOUT_MS = 5_000;
const READINESS_PORT = 17_002;
const PEER_OCTET = 91;

/** What was seen of the fleet while a party sent without end. */
export interface EndlessFindings {
  /** Machines whose process ended. */
  readonly ended: readonly string[];
  /** Machines that held more than they have, with the megabytes. */
  readonly overLimit: readonly string[];
  /** Statuses and errors of sound calls, other than success. */
  readonly failedCalls: readonly string[];
  /** Whether readiness took longer than instances wait for each other. */
  readonly lateMs: number | undefined;
  /** Most memory held by a machine that was sent to, in megabytes. */
  readonly peakMb: number;
}

/** Starts a fleet, lets parties send to it, and watches its processes. */
export class EndlessFleet {
  readonly #fixture: FleetFixture;
  readonly #memoryMb: MachineMemory;

  private constructor(fixture: FleetFixture, memoryMb: MachineMemory) {
    this.#fixture = fixture;
    this.#memoryMb = memoryMb;
  }

  /** Starts a fleet under the limits of the deploy file, with sound targets. */
  static async start(kind: keyof typeof MACHINES): Promise<EndlessFleet> {
    const fixture = await FleetFixture.start({
      controls: 3,
      ledgers: 1,
      entries: 1,
      nodeOptions: readNodeOptions(),
      ...(kind === "smallest" ? { limits: SMALLEST_MACHINES } : {}),
      policy: createPolicy(),
      program: process.env.ENDLESS_PROGRAM ?? FLEET_PROGRAM,
    });
    const { apps } = FLEET_NAMES;
    for (let i = 0; i < 2; i += 1) {
      await fixture.createTarget({ service: apps }).start();
    }
    await sleep(1_500);
    return new EndlessFleet(fixture, MACHINES[kind]);
  }

  /** Gets the machines with a role. */
  machines(role: FleetRole): FleetMachine[] {
    return this.#fixture.fleet.machinesWithRole(role);
  }

  /** Gets the addresses of control instances for operators and targets. */
  get controls(): string[] {
    return this.#fixture.fleet.controlAddresses;
  }

  /** Gets the address of an entry instance for its peers. */
  get peerAddress(): string {
    const [{ id }] = this.machines(FleetRole.Entry);
    return `${id}:${PROXIED_PORTS.dialled}`;
  }

  /** Gets the addresses of entry instances for callers. */
  get entries(): string[] {
    return this.#fixture.fleet.entries;
  }

  /** Ends all processes. */
  stop(): Promise<void> {
    return this.#fixture.stop();
  }

  /** Sends on connections to an address, again when they are closed. */
  sendTo(
    address: string,
    bytes: EndlessBytes,
    count: number,
  ): () => void {
    const [host, port] = address.split(":");
    return keepOpen(count, () => {
      const socket = connect(Number(port), host);
      new EndlessWriter(socket, bytes);
      return socket;
    });
  }

  /** Sends on links that an instance would open. */
  sendAsPeer(
    to: FleetMachine,
    bytes: EndlessBytes,
    { count, path }: { count: number; path: PeerPath },
  ): () => void {
    const self = to.id.replace(/\d+$/, String(PEER_OCTET));
    const address = { host: to.id, port: PROXIED_PORTS.dialled };
    return keepOpen(count, () => {
      const { connection } = dialPeer({
        self,
        peer: { id: to.id, dataCentre: "a", address, control: false },
        secret: "",
        security: () => undefined,
        path,
        onAuthenticated: () => new EndlessWriter(connection, bytes),
      });
      return connection;
    });
  }

  /** Watches the fleet for a time while a party sends. */
  async watch(
    durationMs: number,
    start: () => Promise<() => void> | (() => void),
  ): Promise<EndlessFindings> {
    const { machines } = this.#fixture.fleet;
    const pids = machines.map((m) => m.process?.child.pid ?? 0);
    const peaks = machines.map(() => 0);
    const sampler = setInterval(() => {
      pids.forEach((pid, i) =>
        peaks[i] = Math.max(peaks[i], readResidentMb(pid))
      );
    }, SAMPLE_MS);
    const stop = await start();
    const endsAt = Date.now() + durationMs;
    const [failedCalls, lateMs] = await Promise.all([
      this.#sendCalls(endsAt),
      this.#probe(endsAt),
    ]);
    stop();
    clearInterval(sampler);
    const hasEnded = (m: FleetMachine) => {
      const child = m.process?.child;
      return child?.exitCode !== null || child.signalCode !== null;
    };
    const overLimit = machines
      .map(({ name, role }, i) => ({
        name,
        mb: peaks[i],
        max: this.#memoryMb[role],
      }))
      .filter(({ mb, max }) => mb > max)
      .map(({ name, mb }) => `${name}: ${mb} MB`);
    return {
      ended: machines.filter(hasEnded).map(({ name }) => name),
      overLimit,
      failedCalls,
      lateMs,
      peakMb: Math.max(...peaks),
    };
  }

  async #sendCalls(endsAt: number): Promise<string[]> {
    const failed: string[] = [];
    for (let i = 0; Date.now() < endsAt; i += 1) {
      const id = `sound-${Date.now()}-${i}`;
      const call = this.#fixture.client
        .sendCall(`${FLEET_NAMES.plain}${id}`, { id })
        .then(({ status }) => String(status), (err) => String(err));
      const timeout = sleep(CALL_TIMEOUT_MS).then(() => "no answer");
      const outcome = await Promise.race([call, timeout]);
      if (outcome !== "200") failed.push(outcome);
      await sleep(PROBE_MS);
    }
    return failed;
  }

  /** Gets the longest time that readiness took, if it is too long. */
  async #probe(endsAt: number): Promise<number | undefined> {
    const [{ id }] = this.machines(FleetRole.Entry);
    let slowestMs = 0;
    while (Date.now() < endsAt) {
      const startedAt = Date.now();
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      await fetch(`http://${id}:${READINESS_PORT}/-/readiness`, { signal })
        .then((res) => res.arrayBuffer(), () => slowestMs = CALL_TIMEOUT_MS);
      slowestMs = Math.max(slowestMs, Date.now() - startedAt);
      await sleep(PROBE_MS);
    }
    return slowestMs > CONTACT_MS ? slowestMs : undefined;
  }
}

/** Doubles the routes and services of the policy, for targets without end. */
function createPolicy(): unknown {
  interface Named {
    readonly name: string;
    readonly service?: string;
    readonly pathPrefix?: string;
  }
  const policy = fleetPolicy({ version: 1, keys: [FLEET_KEY] }) as {
    routes: Named[];
    services: Named[];
    limits: object;
  };
  const routes = policy.routes.map((route) => ({
    ...route,
    name: `odd-${route.name}`,
    service: `odd-${route.service}`,
    pathPrefix: route.pathPrefix?.replace("/", "/odd-"),
  }));
  const services = policy.services
    .map((service) => ({ ...service, name: `odd-${service.name}` }));
  return {
    ...policy,
    routes: [...policy.routes, ...routes],
    services: [...policy.services, ...services],
    limits: { ...policy.limits, maxBodyBytes: 33_554_432 },
  };
}

/** Keeps connections open, with a pause before one is opened again. */
function keepOpen(count: number, open: () => Socket): () => void {
  const sockets = new Set<Socket>();
  let isStopped = false;
  const add = () => {
    if (isStopped) return;
    const socket = open();
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => {
      sockets.delete(socket);
      setTimeout(add, SAMPLE_MS);
    });
  };
  for (let i = 0; i < count; i += 1) add();
  return () => {
    isStopped = true;
    for (const socket of sockets) socket.destroy();
  };
}

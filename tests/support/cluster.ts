/** Several instances as real processes, with links that a test can cut. */
import { execFileSync } from "node:child_process";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import {
  Deployment,
  keyOf,
  OPERATOR_TOKEN,
  type StartedInstance,
} from "./deployment.ts";
import { LinkCutter } from "./link_cutter.ts";
import { LoopbackNet } from "./loopback_net.ts";

/** An instance of a test cluster. */
export interface Member {
  /** Identifier. */
  readonly id: string;
  /** Data centre. */
  readonly dataCentre: string;
  /** Whether it takes part in the control log. */
  readonly control?: boolean;
  /** Whether it has a disk; control instances always have one. */
  readonly disk?: boolean;
}

/** Options of {@link TestCluster.start}. */
export interface TestClusterOptions {
  /** Instances. */
  readonly members: readonly Member[];
  /** Configuration document. */
  readonly document?: Record<string, unknown>;
  /** Whether links lead through relays that a test can cut. */
  readonly hasRelays?: boolean;
  /** Further settings of every instance. */
  readonly settings?: Record<string, unknown>;
}

/** Status of an instance, as far as tests look at it. */
export interface InstanceStatus {
  readonly revision: number;
  readonly hasLease: boolean;
  readonly hasHomeLease: boolean;
  readonly applied: number;
  readonly isLedgerPrimary: boolean;
  readonly log?: {
    readonly role: string;
    readonly term: number;
    readonly leader?: string;
    readonly members: { readonly voters: readonly string[] };
  };
  readonly view?: {
    readonly number: number;
    readonly primary: string;
    readonly backups: readonly string[];
  };
  readonly targets: readonly { readonly id: string; readonly phase: string }[];
  readonly metrics: Readonly<Record<string, number>>;
}

/** Port for peers of the first member; below those that the system picks. */
const FIRST_PORT = 20_000;
/** Fourth number of the address on which all members listen for peers. */
const HOST_NUMBER = 2;
const POLL_MS = 50;
const WAIT_MS = 25_000;

/** Keeps the processes, ports and cuts of a cluster. */
export class TestCluster {
  /** Files and processes. */
  readonly deployment: Deployment;
  /** Links between the instances. */
  readonly cutter = new LinkCutter();
  readonly #members: readonly Member[];
  readonly #extra: Record<string, unknown>;
  readonly #ports = new Map<string, number>();
  readonly #instances = new Map<string, StartedInstance>();
  #net: LoopbackNet | undefined;

  private constructor(options: TestClusterOptions) {
    this.#members = options.members;
    this.#extra = options.settings ?? {};
    this.deployment = new Deployment({ document: options.document });
    writeFileSync(this.deployment.path("peer.secret"), "secret-of-a-test");
  }

  /** Starts all instances and waits until they are in contact. */
  static async start(options: TestClusterOptions): Promise<TestCluster> {
    const cluster = new TestCluster(options);
    try {
      await cluster.#start(options);
      return cluster;
    } catch (err) {
      await cluster.stop();
      throw err;
    }
  }

  async #start(options: TestClusterOptions): Promise<void> {
    this.#net = await LoopbackNet.claim();
    for (const [i, { id }] of options.members.entries()) {
      this.#ports.set(id, FIRST_PORT + i);
    }
    if (options.hasRelays !== false) {
      await this.cutter.open(this.#host, this.#ports);
    }
    for (const member of options.members) {
      if (member.control) this.#init(member);
    }
    await Promise.all(options.members.map(({ id }) => this.startOne(id)));
    await this.until(async () => {
      const all = await Promise.all(
        options.members.map(({ id }) => this.status(id)),
      );
      return all.every((s) => s.hasLease && s.revision > 0 && s.view) ||
        undefined;
    });
  }

  /** Gets an instance. */
  of(id: string): StartedInstance {
    const instance = this.#instances.get(id);
    if (instance === undefined) throw new Error(`No instance ${id}`);
    return instance;
  }

  /** Gets the address of an instance for its peers. */
  peerAddressOf(id: string): string {
    return `${this.#host}:${this.#ports.get(id)}`;
  }

  /** Gets the addresses of callers. */
  get urls(): string[] {
    return [...this.#instances.values()].map((instance) => instance.url);
  }

  /** Starts an instance, or starts it again. */
  async startOne(id: string): Promise<StartedInstance> {
    const instance = await this.deployment.startInstance(this.#settings(id));
    this.#instances.set(id, instance);
    return instance;
  }

  /** Removes the disk of an instance that does not run. */
  loseDisk(id: string): void {
    rmSync(this.#folder(id), { recursive: true, force: true });
  }

  /** Asks an operator's endpoint. */
  async operator(
    id: string,
    path: string,
    options: { method?: string; body?: unknown } = {},
  ): Promise<Record<string, unknown>> {
    const res = await fetch(`${this.of(id).url}/operator/${path}`, {
      method: options.method ?? "GET",
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      body: options.body === undefined
        ? undefined
        : JSON.stringify(options.body),
    });
    return await res.json() as Record<string, unknown>;
  }

  /** Sends a trainer's request. */
  async trainer(url: string, path: string, body: unknown): Promise<void> {
    const res = await fetch(`${url}/${path}`, {
      method: "POST",
      headers: { authorization: `Bearer ${keyOf("artis")}` },
      body: JSON.stringify(body),
    });
    await res.arrayBuffer();
  }

  /** Gets the status of an instance. */
  async status(id: string): Promise<InstanceStatus> {
    return await this.operator(id, "status") as unknown as InstanceStatus;
  }

  /** Gets the instance that leads the control log. */
  async leader(except: readonly string[] = []): Promise<string> {
    const candidates = this.#members
      .filter((m) => m.control && !except.includes(m.id));
    return await this.until(async () => {
      for (const { id } of candidates) {
        const { log } = await this.status(id);
        if (log?.role === "leader") return id;
      }
      return undefined;
    });
  }

  /** Waits until a check gives a value; failures count as not yet. */
  async until<T>(check: () => Promise<T | undefined>): Promise<T> {
    const end = Date.now() + WAIT_MS;
    let last: unknown;
    while (Date.now() < end) {
      try {
        const value = await check();
        if (value !== undefined) return value;
      } catch (err) {
        last = err;
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    throw new Error("Not reached in time", { cause: last });
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    await this.deployment.stop();
    this.cutter.close();
    this.#net?.release();
    this.#net = undefined;
  }

  /** Address on which the instances listen for their peers. */
  get #host(): string {
    if (this.#net === undefined) throw new Error("The cluster does not run");
    return this.#net.addressOf(HOST_NUMBER);
  }

  #folder(id: string): string {
    return this.deployment.path(`data-${id}`);
  }

  #init(member: Member): void {
    mkdirSync(this.#folder(member.id), { recursive: true });
    const settings = this.#settings(member.id);
    const file = this.deployment.write(`${member.id}.json`, settings);
    execFileSync(process.execPath, [
      "dist/nutmegreel.mjs",
      "init",
      "--settings",
      file,
    ]);
  }

  /** Each instance reaches the others through cutters of its own. */
  #settings(id: string): Record<string, unknown> {
    const own = this.#members.find((member) => member.id === id);
    const peers = this.#members.map((member) => ({
      id: member.id,
      dataCentre: member.dataCentre,
      control: member.control ?? false,
      address: {
        host: this.#host,
        port: this.cutter.portOf(id, member.id) ??
          this.#ports.get(member.id),
      },
    }));
    return {
      id,
      dataCentre: own?.dataCentre,
      listen: { host: "127.0.0.1", port: 0 },
      peerListen: { host: this.#host, port: this.#ports.get(id) },
      peers,
      peerSecretFile: this.deployment.path("peer.secret"),
      operatorTokenFile: this.deployment.path("operator.token"),
      dataFolder: own?.control || own?.disk ? this.#folder(id) : undefined,
      bootstrap: {
        configurationFile: this.deployment.path("configuration.json"),
        keysFile: this.deployment.path("keys.json"),
      },
      targets: { probeIntervalMs: 200 },
      ...this.#extra,
    };
  }
}

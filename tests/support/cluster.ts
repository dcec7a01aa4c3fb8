/** Cluster of real processes whose links a test can partition. */
import { execFileSync } from "node:child_process";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import {
  Deployment,
  keyOf,
  OPERATOR_TOKEN,
  type StartedInstance,
} from "./deployment.ts";
import { LinkRelays } from "./link_relays.ts";
import { LoopbackNet } from "./loopback_net.ts";

/** An instance of a test cluster. */
export interface ClusterMember {
  readonly id: string;
  readonly dataCentre: string;
  /** Whether it is a voter of the control log at the start. */
  readonly control?: boolean;
  /** Whether it has a disk; control instances always have one. */
  readonly disk?: boolean;
}

/** Options of {@link TestCluster.start}. */
export interface TestClusterOptions {
  readonly members: readonly ClusterMember[];
  /** Configuration document; that of {@link Deployment} where absent. */
  readonly document?: Record<string, unknown>;
  /** Whether links pass through {@link LinkRelays}; true where absent. */
  readonly hasRelays?: boolean;
  /** Settings merged into those of every instance. */
  readonly settings?: Record<string, unknown>;
}

/** Fields of an operator's status response that tests use. */
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

/** Peer port of the first member; below the ephemeral port range. */
const FIRST_PORT = 20_000;
/** Last octet of the address on which all members listen for peers. */
const PEER_HOST_OCTET = 2;
const POLL_INTERVAL_MS = 50;
const UNTIL_TIMEOUT_MS = 25_000;

/** Owns the processes, ports and relays of a cluster. */
export class TestCluster {
  /** Files and processes of the cluster. */
  readonly deployment: Deployment;
  /** Relays between the instances. */
  readonly relays = new LinkRelays();
  readonly #members: readonly ClusterMember[];
  readonly #extraSettings: Record<string, unknown>;
  readonly #ports = new Map<string, number>();
  readonly #instances = new Map<string, StartedInstance>();
  #net: LoopbackNet | undefined;

  private constructor(options: TestClusterOptions) {
    this.#members = options.members;
    this.#extraSettings = options.settings ?? {};
    this.deployment = new Deployment({ document: options.document });
    writeFileSync(this.deployment.path("peer.secret"), "secret-of-a-test");
  }

  /**
   * Starts all instances and waits until each holds its lease, has applied a
   * configuration and has a ledger view.
   * @throws Error if that takes longer than 25 s.
   */
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
      await this.relays.open(this.#peerHost, this.#ports);
    }
    for (const member of options.members) {
      if (member.control) this.#initDataFolder(member);
    }
    await Promise.all(options.members.map(({ id }) => this.startInstance(id)));
    await this.waitUntil(async () => {
      const all = await Promise.all(
        options.members.map(({ id }) => this.status(id)),
      );
      return all.every((s) => s.hasLease && s.revision > 0 && s.view) ||
        undefined;
    });
  }

  /**
   * Gets a started instance.
   * @throws Error if no instance has the identifier.
   */
  getInstanceOrThrow(id: string): StartedInstance {
    const instance = this.#instances.get(id);
    if (instance === undefined) {
      throw new Error(`No instance ${id} has been started`);
    }
    return instance;
  }

  /** Gets the host and port on which an instance listens for its peers. */
  peerAddressOf(id: string): string {
    return `${this.#peerHost}:${this.#ports.get(id)}`;
  }

  /** Gets the base URLs for callers of all instances. */
  get urls(): string[] {
    return [...this.#instances.values()].map((instance) => instance.url);
  }

  /** Starts or restarts an instance. */
  async startInstance(id: string): Promise<StartedInstance> {
    const instance = await this.deployment.startInstance(
      this.#createSettings(id),
    );
    this.#instances.set(id, instance);
    return instance;
  }

  /** Deletes the data folder of a stopped instance. */
  loseDisk(id: string): void {
    rmSync(this.#dataFolderOf(id), { recursive: true, force: true });
  }

  /** Sends a request to an operator endpoint and gets the parsed response. */
  async sendOperatorRequest(
    id: string,
    path: string,
    options: { method?: string; body?: unknown } = {},
  ): Promise<Record<string, unknown>> {
    const res = await fetch(
      `${this.getInstanceOrThrow(id).url}/operator/${path}`,
      {
        method: options.method ?? "GET",
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        body: options.body === undefined
          ? undefined
          : JSON.stringify(options.body),
      },
    );
    return await res.json() as Record<string, unknown>;
  }

  /** Posts a trainer's request and discards the response. */
  async sendTrainerRequest(
    url: string,
    path: string,
    body: unknown,
  ): Promise<void> {
    const res = await fetch(`${url}/${path}`, {
      method: "POST",
      headers: { authorization: `Bearer ${keyOf("artis")}` },
      body: JSON.stringify(body),
    });
    await res.arrayBuffer();
  }

  /** Gets the status of an instance. */
  async status(id: string): Promise<InstanceStatus> {
    return await this.sendOperatorRequest(
      id,
      "status",
    ) as unknown as InstanceStatus;
  }

  /**
   * Waits until an instance reports itself as leader of the control log.
   * @param except - Instances to leave out.
   */
  async leader(except: readonly string[] = []): Promise<string> {
    const candidates = this.#members
      .filter((m) => m.control && !except.includes(m.id));
    return await this.waitUntil(async () => {
      for (const { id } of candidates) {
        const { log } = await this.status(id);
        if (log?.role === "leader") return id;
      }
      return undefined;
    });
  }

  /**
   * Polls a check until it gets a value; errors of the check are retried.
   * @throws Error after 25 s, with the last error as its cause.
   */
  async waitUntil<T>(check: () => Promise<T | undefined>): Promise<T> {
    const end = Date.now() + UNTIL_TIMEOUT_MS;
    let lastError: unknown;
    while (Date.now() < end) {
      try {
        const value = await check();
        if (value !== undefined) return value;
      } catch (err) {
        lastError = err;
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    throw new Error("Condition was not met within 25 s", { cause: lastError });
  }

  /** Kills all processes and releases the addresses. */
  async stop(): Promise<void> {
    await this.deployment.stop();
    this.relays.close();
    this.#net?.release();
    this.#net = undefined;
  }

  /** Gets the address on which the instances listen for their peers. */
  get #peerHost(): string {
    if (this.#net === undefined) {
      throw new Error("The cluster has not been started");
    }
    return this.#net.addressOf(PEER_HOST_OCTET);
  }

  #dataFolderOf(id: string): string {
    return this.deployment.path(`data-${id}`);
  }

  #initDataFolder(member: ClusterMember): void {
    mkdirSync(this.#dataFolderOf(member.id), { recursive: true });
    const settings = this.#createSettings(member.id);
    const file = this.deployment.write(`${member.id}.json`, settings);
    execFileSync(process.execPath, [
      "dist/nutmegreel.mjs",
      "init",
      "--settings",
      file,
    ]);
  }

  /** Creates settings in which each link has a relay of its own. */
  #createSettings(id: string): Record<string, unknown> {
    const own = this.#members.find((member) => member.id === id);
    const peers = this.#members.map((member) => ({
      id: member.id,
      dataCentre: member.dataCentre,
      control: member.control ?? false,
      address: {
        host: this.#peerHost,
        port: this.relays.portOf(id, member.id) ??
          this.#ports.get(member.id),
      },
    }));
    return {
      id,
      dataCentre: own?.dataCentre,
      listen: { host: "127.0.0.1", port: 0 },
      peerListen: { host: this.#peerHost, port: this.#ports.get(id) },
      peers,
      peerSecretFile: this.deployment.path("peer.secret"),
      operatorTokenFile: this.deployment.path("operator.token"),
      dataFolder: own?.control || own?.disk
        ? this.#dataFolderOf(id)
        : undefined,
      bootstrap: {
        configurationFile: this.deployment.path("configuration.json"),
        keysFile: this.deployment.path("keys.json"),
      },
      targets: { probeIntervalMs: 200 },
      ...this.#extraSettings,
    };
  }
}

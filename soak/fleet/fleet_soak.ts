/** One run of real processes under random faults. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FleetReceiver } from "../../fakes/fleet_receiver.ts";
import { FleetReplica } from "../../fakes/fleet_replica.ts";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import {
  FleetDeployment,
  type FleetMachine,
  PROXIED_PORTS,
  sleep,
} from "../../tests/support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "../../tests/support/fleet_policy.ts";
import {
  type BatchPlan,
  FleetTrainer,
} from "../../tests/support/fleet_trainer.ts";
import { LoopbackNet } from "../../tests/support/loopback_net.ts";
import { FaultProxy, LinkState } from "./fault_proxy.ts";
import { BrokenPromiseError, FleetChecks } from "./fleet_checks.ts";

/** Options of {@link FleetSoak}. */
export interface FleetSoakOptions {
  readonly seed: number;
  /** Time under faults, in milliseconds. */
  readonly lengthMs: number;
  readonly controls: number;
  readonly ledgers: number;
  readonly entries: number;
  /** Writes what happens. */
  readonly log: (line: string) => void;
}

/** What a run did. */
export interface FleetSoakResult {
  readonly faults: ReadonlyMap<string, number>;
  readonly batches: number;
  readonly calls: number;
  readonly policies: number;
  readonly violation: string | undefined;
}

type Fault = () => Promise<void>;

const { host, plain, once, rollout, engines, apps, model } = FLEET_NAMES;
const KEY = "key-of-the-park";
const REPLICAS = 4;
const ITEMS = 12;
const MIN_PAUSE_MS = 200;
const PAUSE_SPREAD_MS = 1_500;
const MIN_FAULT_MS = 300;
const FAULT_SPREAD_MS = 3_500;
/** Time in which everything must be served again after the last fault. */
const RECOVERY_MS = 25_000;
const READ_TIMEOUT_MS = 900;

/** Starts a fleet, harms it, and checks what callers and targets see. */
export class FleetSoak {
  readonly #options: FleetSoakOptions;
  readonly #random: () => number;
  readonly #receiver = new FleetReceiver();
  readonly #fleet: FleetDeployment;
  readonly #replicas: FleetReplica[];
  readonly #checks: FleetChecks;
  readonly #proxies = new Map<FleetMachine, FaultProxy>();
  readonly #faults = new Map<string, number>();
  readonly #open = new Set<Promise<void>>();
  readonly #down = new Set<FleetMachine>();
  #violation: string | undefined;
  #isOver = false;
  #batches = 0;
  #calls = 0;
  #revision = 1;
  #version = 1;

  private constructor(
    options: FleetSoakOptions,
    parts: { readonly receiver: FleetReceiver; readonly net: LoopbackNet },
  ) {
    const { receiver, net } = parts;
    this.#options = options;
    this.#receiver = receiver;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    this.#fleet = new FleetDeployment({
      net,
      controls: options.controls,
      ledgers: options.ledgers,
      entries: options.entries,
      receiver: receiver.address,
      hasPeerProxies: true,
    });
    this.#replicas = [
      ...Array.from({ length: REPLICAS }, () => this.#replica([model])),
      this.#replica([]),
      this.#replica([]),
    ];
    this.#checks = new FleetChecks(this.#replicas);
  }

  /** Runs once. */
  static async run(options: FleetSoakOptions): Promise<FleetSoakResult> {
    const receiver = await new FleetReceiver().start();
    const net = await LoopbackNet.claim();
    const soak = new FleetSoak(options, { receiver, net });
    try {
      await soak.#start();
      await soak.#play();
    } catch (err) {
      soak.#onError(err);
    } finally {
      await soak.#stop();
    }
    return {
      faults: soak.#faults,
      batches: soak.#batches,
      calls: soak.#calls,
      policies: soak.#revision,
      violation: soak.#violation,
    };
  }

  async #start(): Promise<void> {
    for (const machine of this.#fleet.machines) {
      const proxy = new FaultProxy({
        host: machine.id,
        port: PROXIED_PORTS.dialled,
        targetPort: PROXIED_PORTS.listened,
      });
      this.#proxies.set(machine, await proxy.start());
    }
    await this.#fleet.startAll(fleetPolicy({ version: 1, keys: [KEY] }));
    this.#checks.onAcked(1);
    for (const replica of this.#replicas) await replica.start();
    await sleep(1_000);
  }

  async #play(): Promise<void> {
    const work = [
      this.#train("t1"),
      this.#train("t2"),
      this.#call(),
      this.#operate(),
      this.#read(),
    ];
    const endsAt = Date.now() + this.#options.lengthMs;
    while (Date.now() < endsAt && this.#violation === undefined) {
      this.#beginFault();
      await sleep(MIN_PAUSE_MS + this.#random() * PAUSE_SPREAD_MS);
    }
    await Promise.all(this.#open);
    this.#isOver = true;
    await Promise.all(work);
    if (this.#violation === undefined) this.#checks.checkAll(this.#receiver);
  }

  async #stop(): Promise<void> {
    this.#isOver = true;
    if (this.#violation !== undefined) {
      for (const line of this.#fleet.logLines) this.#options.log(line);
    }
    for (const proxy of this.#proxies.values()) proxy.stop();
    await this.#fleet.stop();
    for (const replica of this.#replicas) replica.crash();
    this.#receiver.stop();
  }

  #replica(models: readonly string[]): FleetReplica {
    return new FleetReplica({
      service: models.length > 0 ? engines : apps,
      zone: "a",
      models,
      slots: 8,
      controls: () => this.#fleet.controlAddresses,
      workMs: 15,
      loadMs: 300,
      isFencing: true,
    });
  }

  #trainer(): FleetTrainer {
    return new FleetTrainer({
      entries: this.#fleet.entries,
      host,
      key: KEY,
      prefix: rollout,
    });
  }

  /** Submits one batch after the other; each must become whole. */
  async #train(name: string): Promise<void> {
    const trainer = this.#trainer();
    const timeoutMs = this.#options.lengthMs + RECOVERY_MS;
    for (let step = 0; !this.#isOver; step += 1) {
      const plan: BatchPlan = {
        id: `${name}s${step}`,
        model,
        minVersion: Math.max(0, this.#version - 1),
        items: Array.from(
          { length: ITEMS },
          (_, i) => `${name}s${step}g${Math.floor(i / 4)}-${i}`,
        ),
      };
      await this.#guard(`batch ${plan.id}`, async () => {
        await trainer.submit(plan, timeoutMs);
        const check = (
          result: Parameters<FleetChecks["onResult"]>[1],
          at: number,
        ) => this.#checks.onResult(plan, result, at);
        await trainer.readAll(plan, timeoutMs, check);
        await trainer.readAll(plan, timeoutMs, check);
        await trainer.end(plan.id, timeoutMs);
        this.#batches += 1;
      });
    }
  }

  async #call(): Promise<void> {
    const trainer = this.#trainer();
    for (let i = 0; !this.#isOver; i += 1) {
      const isOnce = i % 2 === 0;
      const id = `${isOnce ? "once" : "plain"}-${i}`;
      try {
        const path = `${isOnce ? once : plain}${i}`;
        const answer = await trainer.sendCall(path, { id, deadlineMs: 2_000 });
        this.#check(() => this.#checks.onCall(id, answer));
        this.#calls += 1;
      } catch (err) {
        this.#options.log(`call ${id}: ${(err as Error).message}`);
      }
      await sleep(40);
    }
  }

  /** Changes policy and weights as an operator and a trainer do. */
  async #operate(): Promise<void> {
    const timeoutMs = this.#options.lengthMs + RECOVERY_MS;
    while (!this.#isOver) {
      await sleep(400 + this.#random() * 800);
      const revision = this.#revision + 1;
      await this.#guard(`policy ${revision}`, async () => {
        const policy = fleetPolicy({ version: revision, keys: [KEY] });
        await this.#fleet.putPolicy(policy, timeoutMs);
        this.#checks.onAcked(revision);
        this.#revision = revision;
      });
      if (this.#random() < 0.5) continue;
      const version = this.#version + 1;
      await this.#guard(`weights ${version}`, async () => {
        const body = { model, version };
        await this.#fleet.sendToControl("POST", "/-/version-put", {
          body,
          timeoutMs,
        });
        this.#version = version;
      });
    }
  }

  async #read(): Promise<void> {
    while (!this.#isOver) {
      await sleep(150);
      const acked = this.#checks.highestAcked;
      let policy: { version: number };
      try {
        policy = await this.#fleet.readPolicy(READ_TIMEOUT_MS) as never;
      } catch {
        // An instance that cannot be sure says so.
        continue;
      }
      this.#check(() => this.#checks.onPolicy(policy.version, acked));
    }
  }

  async #guard(what: string, work: () => Promise<void>): Promise<void> {
    if (this.#violation !== undefined) return;
    try {
      await work();
    } catch (err) {
      this.#options.log(`${what}: ${(err as Error).message}`);
      this.#onError(err);
    }
  }

  #check(check: () => void): void {
    try {
      check();
    } catch (err) {
      this.#onError(err);
    }
  }

  /** Work that never ends is a broken promise as well. */
  #onError(err: unknown): void {
    const error = err as Error;
    this.#violation ??= error instanceof BrokenPromiseError
      ? error.message
      : `served in the end: ${error.message}`;
    this.#isOver = true;
  }

  #beginFault(): void {
    const names = Object.keys(this.#kinds);
    const name = names[Math.floor(this.#random() * names.length)];
    this.#faults.set(name, (this.#faults.get(name) ?? 0) + 1);
    const fault = this.#kinds[name]()
      .catch((err) => this.#onError(err))
      .finally(() => this.#open.delete(fault));
    this.#open.add(fault);
  }

  readonly #kinds: Readonly<Record<string, Fault>> = {
    kill: () =>
      this.#harm("kill", async (machine, forMs) => {
        await this.#fleet.kill(machine);
        await sleep(forMs);
        this.#fleet.start(machine);
      }),
    wipe: () =>
      this.#harm("wipe", async (machine, forMs) => {
        await this.#fleet.kill(machine);
        this.#fleet.wipe(machine);
        await sleep(forMs);
        this.#fleet.start(machine);
        await sleep(CATCH_UP_MS);
      }),
    restart: () =>
      this.#harm("restart", async (machine) => {
        const { process } = machine;
        this.#fleet.signal(machine, "SIGTERM");
        await process?.ended();
        this.#fleet.start(machine);
      }),
    pause: () =>
      this.#harm("pause", async (machine, forMs) => {
        this.#fleet.signal(machine, "SIGSTOP");
        await sleep(forMs);
        this.#fleet.signal(machine, "SIGCONT");
      }),
    cut: () => this.#link(LinkState.Silent),
    oneWay: () => this.#link(LinkState.OneWay),
    delay: () => this.#link(LinkState.Delayed),
    reset: () =>
      this.#harm("reset", (machine) => {
        this.#proxies.get(machine)?.reset();
        return Promise.resolve();
      }),
    crashEngine: async () => {
      const replica = this.#pick(this.#replicas);
      replica.crash();
      await sleep(MIN_FAULT_MS + this.#random() * FAULT_SPREAD_MS);
      await replica.start();
    },
    slowEngine: async () => {
      const replica = this.#pick(this.#replicas);
      replica.slowness = 5;
      await sleep(MIN_FAULT_MS + this.#random() * FAULT_SPREAD_MS);
      replica.slowness = 1;
    },
    silentEngine: async () => {
      const replica = this.#pick(this.#replicas);
      replica.isSilent = true;
      await sleep(MIN_FAULT_MS + this.#random() * FAULT_SPREAD_MS);
      replica.isSilent = false;
    },
  };

  #link(state: LinkState): Promise<void> {
    return this.#harm(state, async (machine, forMs) => {
      const proxy = this.#proxies.get(machine);
      proxy?.set(state);
      await sleep(forMs);
      proxy?.set(LinkState.Clear);
    });
  }

  /** No more machines with a disk are harmed at once than is borne. */
  async #harm(
    what: string,
    harm: (machine: FleetMachine, forMs: number) => Promise<void>,
  ): Promise<void> {
    const machine = this.#pick(this.#fleet.machines);
    const forMs = MIN_FAULT_MS + this.#random() * FAULT_SPREAD_MS;
    const hasDisk = machine.role !== FleetRole.Entry;
    const others = [...this.#down].filter((m) => m.role !== FleetRole.Entry);
    if (this.#down.has(machine) || (hasDisk && others.length > 0)) return;
    if (what === "wipe" && !hasDisk) return;
    this.#down.add(machine);
    this.#options.log(`fault ${what} ${machine.name} ${Math.round(forMs)} ms`);
    try {
      await harm(machine, forMs);
      if (hasDisk) await sleep(CATCH_UP_MS);
    } finally {
      this.#down.delete(machine);
    }
  }

  #pick<T>(all: readonly T[]): T {
    return all[Math.floor(this.#random() * all.length)];
  }
}

/** Time in which a machine that is back counts as lost still. */
const CATCH_UP_MS = 2_500;

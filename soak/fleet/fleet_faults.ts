/** Faults of machines, links and targets in a soak run, and upgrades. */
import type { FleetReplica } from "../../fakes/fleet_replica.ts";
import { FleetRole } from "../../src/core/fleet/mod.ts";
import {
  FLEET_PROGRAM,
  type FleetDeployment,
  type FleetMachine,
  sleep,
} from "../../tests/support/fleet_deployment.ts";
import { type FaultProxy, LinkState } from "./fault_proxy.ts";

/** Options of {@link FleetFaults}. */
export interface FleetFaultsOptions {
  readonly fleet: FleetDeployment;
  readonly replicas: readonly FleetReplica[];
  readonly proxies: ReadonlyMap<FleetMachine, FaultProxy>;
  readonly seed: number;
  readonly random: () => number;
  /** Program from which the machines are upgraded to the current one. */
  readonly oldProgram: string | undefined;
  /** Gets whether the run is about to end. */
  readonly isStopping: () => boolean;
  /** Called with an error that ends the run. */
  readonly onError: (err: unknown) => void;
  readonly log: (line: string) => void;
}

type FaultAction = () => Promise<void>;

/** Number of software versions in use; several targets have each. */
const SOFTWARE_VERSIONS = 2;
/** Longest time between two releases of targets. */
const RELEASE_INTERVAL_MS = 2_000;
const MIN_FAULT_INTERVAL_MS = 200;
const FAULT_INTERVAL_SPREAD_MS = 1_500;
const MIN_FAULT_DURATION_MS = 300;
const FAULT_DURATION_SPREAD_MS = 3_500;
/** Time for which a recovered machine still counts as faulty. */
const CATCH_UP_TIME_MS = 2_500;

/** Injects faults within the tolerance of the fleet. */
export class FleetFaults {
  readonly #options: FleetFaultsOptions;
  readonly #counts = new Map<string, number>();
  readonly #active = new Set<Promise<void>>();
  readonly #affectedMachines = new Set<FleetMachine>();
  readonly #stoppedReplicas = new Set<FleetReplica>();

  constructor(options: FleetFaultsOptions) {
    this.#options = options;
  }

  /** Gets the numbers of injected faults by kind. */
  get counts(): ReadonlyMap<string, number> {
    return this.#counts;
  }

  /** Gets whether a target is ended and about to start again. */
  isStopped(replica: FleetReplica): boolean {
    return this.#stoppedReplicas.has(replica);
  }

  /** Injects faults up to a time, and waits until all are over. */
  async run(endsAt: number): Promise<void> {
    const releases = this.#runReleases(endsAt);
    const upgrade = this.#runUpgrade();
    while (Date.now() < endsAt && !this.#options.isStopping()) {
      this.#beginFault();
      await sleep(
        MIN_FAULT_INTERVAL_MS + this.#random() * FAULT_INTERVAL_SPREAD_MS,
      );
    }
    await Promise.all([...this.#active, releases, upgrade]);
  }

  #random(): number {
    return this.#options.random();
  }

  #count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  #beginFault(): void {
    const name = this.#pick(Object.keys(this.#faultActions));
    this.#count(name);
    const fault = this.#faultActions[name]()
      .catch((err) => this.#options.onError(err))
      .finally(() => this.#active.delete(fault));
    this.#active.add(fault);
  }

  readonly #faultActions: Readonly<Record<string, FaultAction>> = {
    kill: () =>
      this.#faultMachine("kill", async (machine, durationMs) => {
        await this.#options.fleet.kill(machine);
        await sleep(durationMs);
        this.#options.fleet.start(machine);
      }),
    wipe: () =>
      this.#faultMachine("wipe", async (machine, durationMs) => {
        await this.#options.fleet.kill(machine);
        this.#options.fleet.wipe(machine);
        await sleep(durationMs);
        this.#options.fleet.start(machine);
        await sleep(CATCH_UP_TIME_MS);
      }),
    restart: () =>
      this.#faultMachine("restart", async (machine) => {
        const { process } = machine;
        this.#options.fleet.signal(machine, "SIGTERM");
        await process?.waitForExit();
        this.#options.fleet.start(machine);
      }),
    loseAllEntries: () => this.#loseAllEntries(),
    pause: () =>
      this.#faultMachine("pause", async (machine, durationMs) => {
        this.#options.fleet.signal(machine, "SIGSTOP");
        await sleep(durationMs);
        this.#options.fleet.signal(machine, "SIGCONT");
      }),
    cut: () => this.#setLinkState(LinkState.Silent),
    oneWay: () => this.#setLinkState(LinkState.OneWay),
    delay: () => this.#setLinkState(LinkState.Delayed),
    reset: () =>
      this.#faultMachine("reset", (machine) => {
        this.#options.proxies.get(machine)?.reset();
        return Promise.resolve();
      }),
    crashEngine: () =>
      this.#stopReplica(async (replica) => {
        await this.#pause();
        await replica.start();
      }),
    slowEngine: async () => {
      const replica = this.#pick(this.#options.replicas);
      replica.slowdownFactor = 5;
      await this.#pause();
      replica.slowdownFactor = 1;
    },
    silentEngine: async () => {
      const replica = this.#pick(this.#options.replicas);
      replica.isSilent = true;
      await this.#pause();
      replica.isSilent = false;
    },
  };

  /** Kills all entry instances at once and starts them again. */
  async #loseAllEntries(): Promise<void> {
    const { fleet } = this.#options;
    const entries = fleet.machinesWithRole(FleetRole.Entry);
    if (entries.some((one) => this.#affectedMachines.has(one))) return;
    for (const machine of entries) this.#affectedMachines.add(machine);
    try {
      await Promise.all(entries.map((machine) => fleet.kill(machine)));
      for (const machine of entries) fleet.start(machine);
      await fleet.waitUntilReady();
    } finally {
      for (const machine of entries) this.#affectedMachines.delete(machine);
    }
    this.#options.log("fault loseAllEntries is over");
  }

  /** Waits for the duration of a fault. */
  #pause(): Promise<void> {
    return sleep(
      MIN_FAULT_DURATION_MS + this.#random() * FAULT_DURATION_SPREAD_MS,
    );
  }

  /** Ends a random target, unless it is being restarted, and restarts it. */
  async #stopReplica(
    restart: (replica: FleetReplica) => Promise<void>,
  ): Promise<void> {
    const replica = this.#pick(this.#options.replicas);
    if (this.#stoppedReplicas.has(replica)) return;
    this.#stoppedReplicas.add(replica);
    replica.crash();
    await restart(replica);
    this.#stoppedReplicas.delete(replica);
  }

  /**
   * Replaces targets by ones of newer software versions, one after the other:
   * at other addresses, or at the same one, of which the control instances may
   * receive late reports.
   */
  async #runReleases(endsAt: number): Promise<void> {
    for (let release = 2; Date.now() < endsAt; release += 1) {
      await sleep(this.#random() * RELEASE_INTERVAL_MS);
      await this.#stopReplica(async (replica) => {
        // Earlier programs join the outputs of two versions.
        const isJoined = this.#options.oldProgram !== undefined;
        replica.software = `v${isJoined ? 1 : 1 + release % SOFTWARE_VERSIONS}`;
        const isSameTarget = this.#random() < 0.5;
        replica.withholdsHeartbeats = isSameTarget && this.#random() < 0.5;
        await (isSameTarget ? replica.restart() : replica.start());
        if (replica.withholdsHeartbeats) await this.#pause();
        replica.withholdsHeartbeats = false;
      });
      this.#count("release");
    }
  }

  /** Upgrades the machines from the earlier program to the current one. */
  async #runUpgrade(): Promise<void> {
    const { oldProgram, seed } = this.#options;
    if (oldProgram === undefined) return;
    const machines = this.#shuffle(this.#options.fleet.machines);
    const half = machines.slice(0, Math.ceil(machines.length / 2));
    if (seed % 2 === 0) {
      for (const machine of half) await this.#replace(machine, FLEET_PROGRAM);
      for (const machine of half) await this.#replace(machine, oldProgram);
    }
    for (const machine of machines) await this.#replace(machine, FLEET_PROGRAM);
  }

  /** Stops a machine as soon as the tolerance allows, and starts a program. */
  async #replace(machine: FleetMachine, program: string): Promise<void> {
    while (machine.program !== program && !this.#options.isStopping()) {
      await this.#restart(machine, program);
      await sleep(MIN_FAULT_INTERVAL_MS);
    }
  }

  #restart(machine: FleetMachine, program: string): Promise<void> {
    return this.#affectMachine(machine, async () => {
      this.#options.log(`upgrade ${machine.name} ${program}`);
      const { process } = machine;
      this.#options.fleet.signal(machine, "SIGTERM");
      await process?.waitForExit();
      machine.program = program;
      this.#options.fleet.start(machine);
      this.#count("upgrade");
    });
  }

  #shuffle<T>(all: readonly T[]): T[] {
    return all.map((value) => ({ value, order: this.#random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ value }) => value);
  }

  #setLinkState(state: LinkState): Promise<void> {
    return this.#faultMachine(state, async (machine, durationMs) => {
      const proxy = this.#options.proxies.get(machine);
      proxy?.setState(state);
      await sleep(durationMs);
      proxy?.setState(LinkState.Clear);
    });
  }

  /**
   * Injects a fault on a random machine, unless the fleet would exceed its
   * tolerance of one faulty machine with a disk at a time.
   */
  async #faultMachine(
    kind: string,
    action: (machine: FleetMachine, durationMs: number) => Promise<void>,
  ): Promise<void> {
    const machine = this.#pick(this.#options.fleet.machines);
    const durationMs = MIN_FAULT_DURATION_MS +
      this.#random() * FAULT_DURATION_SPREAD_MS;
    if (kind === "wipe" && machine.role === FleetRole.Entry) return;
    await this.#affectMachine(machine, async () => {
      this.#options.log(
        `fault ${kind} ${machine.name} ${Math.round(durationMs)} ms`,
      );
      await action(machine, durationMs);
    });
  }

  /** Does something to a machine, unless too many are affected already. */
  async #affectMachine(
    machine: FleetMachine,
    action: () => Promise<void>,
  ): Promise<void> {
    const hasDisk = machine.role !== FleetRole.Entry;
    const affectedWithDisk = [...this.#affectedMachines].filter((m) =>
      m.role !== FleetRole.Entry
    );
    if (
      this.#affectedMachines.has(machine) ||
      (hasDisk && affectedWithDisk.length > 0)
    ) {
      return;
    }
    this.#affectedMachines.add(machine);
    try {
      await action();
      if (hasDisk) await sleep(CATCH_UP_TIME_MS);
    } finally {
      this.#affectedMachines.delete(machine);
    }
  }

  #pick<T>(all: readonly T[]): T {
    return all[Math.floor(this.#random() * all.length)];
  }
}

/** Randomised run of a fleet of real processes under faults. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FleetReceiver } from "../../fakes/fleet_receiver.ts";
import type { FleetReplica } from "../../fakes/fleet_replica.ts";
import {
  FleetDeployment,
  type FleetMachine,
  PROXIED_PORTS,
  sleep,
} from "../../tests/support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "../../tests/support/fleet_policy.ts";
import { LoopbackNet } from "../../tests/support/loopback_net.ts";
import { FaultProxy } from "./fault_proxy.ts";
import { FleetChecks } from "./fleet_checks.ts";
import { InvariantViolationError } from "./invariant_violation_error.ts";
import { type ClientCounts, FleetClients } from "./fleet_clients.ts";
import { FleetFaults } from "./fleet_faults.ts";

/** Options of {@link FleetSoak}. */
export interface FleetSoakOptions {
  /** Seed of the faults; the timing of the processes is not reproducible. */
  readonly seed: number;
  /** Duration of the faults, in milliseconds. */
  readonly lengthMs: number;
  /** Number of control instances. */
  readonly controls: number;
  /** Number of ledger instances. */
  readonly ledgers: number;
  /** Number of entry instances. */
  readonly entries: number;
  /** Whether the recipients of orders check fencing tokens. */
  readonly areFencesChecked: boolean;
  /**
   * Earlier program that all machines run first. They are upgraded to the
   * current one one after the other, in half of the runs after one downgrade.
   */
  readonly oldProgram?: string | undefined;
  /** Writes lines on faults and errors, and the fleet's log on a violation. */
  readonly log: (line: string) => void;
}

/** Work done in a run, and the violation that ended it. */
export interface FleetSoakResult extends ClientCounts {
  /** Numbers of injected faults by kind. */
  readonly faults: ReadonlyMap<string, number>;
  /** First violation; undefined where there was none. */
  readonly violation: string | undefined;
}

const { engines, apps, model } = FLEET_NAMES;
const KEY = "key-of-the-park";
const ENGINE_COUNT = 4;
/** Engines of a software version with which a stream must be resumed. */
const MIN_SERVING_ENGINES = 2;
/** Time after the last fault within which all pending work must complete. */
const RECOVERY_TIMEOUT_MS = 25_000;

/** Starts a fleet, injects faults and checks what callers and targets see. */
export class FleetSoak {
  readonly #options: FleetSoakOptions;
  readonly #random: () => number;
  readonly #receiver = new FleetReceiver();
  readonly #fleet: FleetDeployment;
  readonly #replicas: FleetReplica[];
  readonly #checks: FleetChecks;
  readonly #proxies = new Map<FleetMachine, FaultProxy>();
  readonly #clients: FleetClients;
  readonly #faults: FleetFaults;
  #violation: string | undefined;

  private constructor(
    options: FleetSoakOptions,
    parts: { readonly receiver: FleetReceiver; readonly net: LoopbackNet },
  ) {
    const { receiver, net } = parts;
    this.#options = options;
    this.#receiver = receiver;
    receiver.isFencingEnabled = options.areFencesChecked;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    this.#fleet = new FleetDeployment({
      net,
      controls: options.controls,
      ledgers: options.ledgers,
      entries: options.entries,
      receiver: receiver.address,
      hasPeerProxies: true,
      areFencesChecked: options.areFencesChecked,
      program: options.oldProgram,
    });
    this.#replicas = [
      ...Array.from(
        { length: ENGINE_COUNT },
        () => this.#createReplica([model]),
      ),
      this.#createReplica([]),
      this.#createReplica([]),
    ];
    this.#checks = new FleetChecks(this.#replicas);
    this.#clients = this.#createClients();
    this.#faults = this.#createFaults();
  }

  /** Performs a run on new processes; errors are returned as a violation. */
  static async run(options: FleetSoakOptions): Promise<FleetSoakResult> {
    const receiver = await new FleetReceiver().start();
    const net = await LoopbackNet.claim();
    const soak = new FleetSoak(options, { receiver, net });
    try {
      await soak.#start();
      await soak.#runUnderFaults();
    } catch (err) {
      soak.#onError(err);
    } finally {
      await soak.#stop();
    }
    return {
      ...soak.#clients.counts,
      faults: soak.#faults.counts,
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

  async #runUnderFaults(): Promise<void> {
    const clients = this.#clients.run();
    await this.#faults.run(Date.now() + this.#options.lengthMs);
    this.#clients.stop();
    await clients;
    if (this.#violation !== undefined) return;
    this.#checks.checkAll(this.#receiver);
    this.#checks.checkResumptions(this.#clients.counts);
    if (!this.#options.areFencesChecked) {
      this.#checks.checkTurns(this.#receiver);
    }
  }

  async #stop(): Promise<void> {
    this.#clients.stop();
    if (this.#violation !== undefined) {
      for (const line of this.#fleet.logLines) this.#options.log(line);
    }
    for (const proxy of this.#proxies.values()) proxy.stop();
    await this.#fleet.stop();
    for (const replica of this.#replicas) replica.crash();
    this.#receiver.stop();
  }

  #createReplica(models: readonly string[]): FleetReplica {
    return this.#fleet.createTarget({
      service: models.length > 0 ? engines : apps,
      models,
      loadMs: 300,
      isFencingEnabled: this.#options.areFencesChecked,
    });
  }

  #createClients(): FleetClients {
    const { lengthMs, log } = this.#options;
    return new FleetClients({
      fleet: this.#fleet,
      checks: this.#checks,
      key: KEY,
      timeoutMs: lengthMs + RECOVERY_TIMEOUT_MS,
      random: this.#random,
      isServed: (software) => this.#isServed(software),
      onError: (err) => this.#onError(err),
      log,
    });
  }

  #createFaults(): FleetFaults {
    const { seed, oldProgram, log } = this.#options;
    return new FleetFaults({
      fleet: this.#fleet,
      replicas: this.#replicas,
      proxies: this.#proxies,
      seed,
      random: this.#random,
      oldProgram,
      isStopping: () => this.#violation !== undefined,
      onError: (err) => this.#onError(err),
      log,
    });
  }

  /**
   * Gets whether enough engines of a software version serve to resume a stream.
   */
  #isServed(software: string): boolean {
    // Instances of an earlier program neither record nor find streams.
    if (this.#options.oldProgram !== undefined) return false;
    const serving = this.#replicas.slice(0, ENGINE_COUNT).filter((replica) =>
      replica.software === software && replica.sendsHeartbeats &&
      !this.#faults.isStopped(replica)
    );
    return serving.length >= MIN_SERVING_ENGINES;
  }

  /** Ends the run; work that is not completed in time is a violation, too. */
  #onError(err: unknown): void {
    const error = err as Error;
    this.#violation ??= error instanceof InvariantViolationError
      ? error.message
      : `all work completes after the faults: ${error.message}`;
    this.#clients.stop();
  }
}

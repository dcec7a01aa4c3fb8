/** A fleet of real processes with its targets and clients, ended together. */
import type {
  FleetReplica,
  FleetReplicaOptions,
} from "../../fakes/fleet_replica.ts";
import { type ClientResponse, FleetTrainer } from "./fleet_trainer.ts";
import {
  FleetDeployment,
  type FleetDeploymentOptions,
  sleep,
} from "./fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "./fleet_policy.ts";
import { LoopbackNet } from "./loopback_net.ts";
import { StreamCaller } from "./stream_caller.ts";

/** Options of {@link FleetFixture.start}. */
export interface FleetFixtureOptions
  extends Omit<FleetDeploymentOptions, "net"> {
  /** First policy; by default, one with {@link FLEET_KEY} alone. */
  readonly policy?: unknown;
}

type TargetOptions =
  & Pick<FleetReplicaOptions, "service">
  & Partial<FleetReplicaOptions>;

/** API key of the workspace. */
export const FLEET_KEY = "key-of-the-park";
/** API key of the second workspace, in policies that have one. */
export const OTHER_FLEET_KEY = "key-of-the-zoo";
/** Time after which all instances know the targets, in milliseconds. */
const CERTAIN_MS = 1_000;

/** Owns a started fleet, its targets and a client of batches and calls. */
export class FleetFixture {
  /** Client with {@link FLEET_KEY}, for all entry instances. */
  readonly client: FleetTrainer;
  readonly fleet: FleetDeployment;
  #targets: FleetReplica[] = [];
  #isStopped = false;

  private constructor(fleet: FleetDeployment) {
    this.fleet = fleet;
    this.client = new FleetTrainer({
      entries: fleet.entries,
      host: FLEET_NAMES.host,
      key: FLEET_KEY,
      prefix: FLEET_NAMES.rollout,
    });
  }

  /**
   * Starts all instances of a fleet, and waits until they are ready. A fleet
   * that does not become ready is stopped.
   */
  static async start(options: FleetFixtureOptions): Promise<FleetFixture> {
    const { policy, ...counts } = options;
    const net = await LoopbackNet.claim();
    const fleet = new FleetDeployment({ net, ...counts });
    const fixture = new FleetFixture(fleet);
    const first = policy ?? fleetPolicy({ version: 1, keys: [FLEET_KEY] });
    try {
      await fleet.startAll(first);
    } catch (err) {
      await fixture.stop();
      throw err;
    }
    return fixture;
  }

  /** Gets whether the targets have ended and are not to start again. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Creates a target that is not started, and ends with the fleet. */
  createTarget(options: TargetOptions): FleetReplica {
    const target = this.fleet.createTarget(options);
    this.#targets.push(target);
    return target;
  }

  /**
   * Starts engines, one for each software version in the order given, and waits
   * until all instances know them.
   */
  async startEngines(
    workMs: number,
    versions: readonly string[],
  ): Promise<FleetReplica[]> {
    const { engines, model } = FLEET_NAMES;
    const targets = versions.map((software) => {
      const options = { service: engines, models: [model], workMs };
      return Object.assign(this.createTarget(options), { software });
    });
    for (const target of targets) await target.start();
    await sleep(CERTAIN_MS);
    return targets;
  }

  /** Creates a caller of streams, by default with {@link FLEET_KEY}. */
  createStreamCaller(
    key = FLEET_KEY,
    entries: () => string[] = () => this.fleet.entries,
  ): StreamCaller {
    const { host, stream, model } = FLEET_NAMES;
    return new StreamCaller({ entries, host, key, prefix: stream, model });
  }

  /** Sends calls at an even rate for a time; gets their responses. */
  async sendCalls(
    name: string,
    options: { readonly durationMs: number; readonly intervalMs: number },
  ): Promise<ClientResponse[]> {
    const pending: Promise<ClientResponse>[] = [];
    const endsAt = Date.now() + options.durationMs;
    for (let i = 0; Date.now() < endsAt; i += 1) {
      const id = `${name}-${i}`;
      pending.push(this.client.sendCall(`${FLEET_NAMES.plain}${id}`, { id }));
      await sleep(options.intervalMs);
    }
    return await Promise.all(pending);
  }

  /** Drains and ends all targets. */
  async retireTargets(): Promise<void> {
    for (const target of this.#targets) {
      await target.drain();
      target.crash();
    }
    this.#targets = [];
  }

  /** Ends all targets and instances. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const target of this.#targets) target.crash();
    await this.fleet.stop();
  }
}

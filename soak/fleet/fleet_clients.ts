/** Clients of a fleet in a soak run: trainers, callers, operators. */
import type { FleetDeployment } from "../../tests/support/fleet_deployment.ts";
import { sleep } from "../../tests/support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "../../tests/support/fleet_policy.ts";
import {
  type BatchPlan,
  FleetTrainer,
} from "../../tests/support/fleet_trainer.ts";
import { StreamCaller } from "../../tests/support/stream_caller.ts";
import type { FleetChecks } from "./fleet_checks.ts";

/** Options of {@link FleetClients}. */
export interface FleetClientsOptions {
  readonly fleet: FleetDeployment;
  readonly checks: FleetChecks;
  /** API key of all clients. */
  readonly key: string;
  /** Time within which each piece of work must complete, in milliseconds. */
  readonly timeoutMs: number;
  readonly random: () => number;
  /**
   * Gets whether enough engines of a software version serve to resume a stream.
   */
  readonly isServed: (software: string) => boolean;
  /** Called with an error that ends the run. */
  readonly onError: (err: unknown) => void;
  readonly log: (line: string) => void;
}

/** Work done by the clients. */
export interface ClientCounts {
  /** Completed batches. */
  batches: number;
  /** Batches that were ended early. */
  ended: number;
  /** Plain calls with a response. */
  calls: number;
  /** Last acknowledged revision of the policy. */
  policies: number;
  /** Streams that callers asked for. */
  asked: number;
  /** Streams of which an event came. */
  begun: number;
  /** Streams read to their end. */
  streams: number;
  /** Streams with events for which a counted request to resume was sent. */
  resumeAttempts: number;
  /**
   * Those of them that were resumed; like new streams, after as many requests.
   */
  resumed: number;
}

const { host, plain, once, rollout, stream, model } = FLEET_NAMES;
const ITEMS_PER_BATCH = 12;
const ITEMS_PER_ENDED_BATCH = 24;
/** Longest time from the acceptance of a batch to an early end. */
const MAX_PATIENCE_MS = 600;
/** Number of callers that read streams at the same time. */
const STREAM_CALLERS = 6;
/** Time after which a caller abandons a stream. */
const STREAM_TIMEOUT_MS = 5_000;
const READ_TIMEOUT_MS = 900;

/** Sends work until it is stopped, and checks what comes back. */
export class FleetClients {
  readonly #options: FleetClientsOptions;
  readonly #counts: ClientCounts = {
    batches: 0,
    ended: 0,
    calls: 0,
    policies: 1,
    asked: 0,
    begun: 0,
    streams: 0,
    resumeAttempts: 0,
    resumed: 0,
  };
  #weightVersion = 1;
  #isStopping = false;

  constructor(options: FleetClientsOptions) {
    this.#options = options;
  }

  /** Gets the work done so far. */
  get counts(): Readonly<ClientCounts> {
    return this.#counts;
  }

  /** Stops the clients after the work in progress. */
  stop(): this {
    this.#isStopping = true;
    return this;
  }

  /** Runs all clients until {@link FleetClients.stop}. */
  async run(): Promise<void> {
    await Promise.all([
      this.#runTrainer("t1", undefined),
      this.#runTrainer("t2", plain),
      this.#runImpatientTrainer("t3"),
      this.#runCaller(),
      ...Array.from(
        { length: STREAM_CALLERS },
        (_, i) => this.#runStreamCaller(`c${i}`),
      ),
      this.#runOperator(),
      this.#runPolicyReader(),
    ]);
  }

  #createTrainer(): FleetTrainer {
    return new FleetTrainer({
      entries: this.#options.fleet.entries,
      host,
      key: this.#options.key,
      prefix: rollout,
    });
  }

  /** Submits batches one after another; each must complete. */
  async #runTrainer(
    name: string,
    scoringPrefix: string | undefined,
  ): Promise<void> {
    const trainer = this.#createTrainer();
    const timeoutMs = this.#options.timeoutMs;
    for (let step = 0; !this.#isStopping; step += 1) {
      const id = `${name}s${step}`;
      const plan = this.#createPlan(id, ITEMS_PER_BATCH, scoringPrefix);
      await this.#runChecked(`batch ${plan.id}`, async () => {
        await trainer.submit(plan, timeoutMs);
        const check = (
          result: Parameters<FleetChecks["onResult"]>[1],
          index: number,
        ) => this.#options.checks.onResult(plan, result, index);
        await trainer.readAll(plan, timeoutMs, check);
        await trainer.readAll(plan, timeoutMs, check);
        await trainer.end(plan.id, timeoutMs);
        this.#counts.batches += 1;
      });
    }
  }

  /** Submits batches and ends them early, while their items run. */
  async #runImpatientTrainer(name: string): Promise<void> {
    const trainer = this.#createTrainer();
    const { timeoutMs, random, checks } = this.#options;
    for (let step = 0; !this.#isStopping; step += 1) {
      const plan = this.#createPlan(`${name}s${step}`, ITEMS_PER_ENDED_BATCH);
      await this.#runChecked(`batch ${plan.id}`, async () => {
        await trainer.submit(plan, timeoutMs);
        await sleep(random() * MAX_PATIENCE_MS);
        await trainer.end(plan.id, timeoutMs);
        checks.endedBatches.onEnded(plan);
        this.#counts.ended += 1;
      });
    }
  }

  #createPlan(id: string, size: number, scoringPrefix?: string): BatchPlan {
    return {
      id,
      model,
      minVersion: Math.max(0, this.#weightVersion - 1),
      items: Array.from(
        { length: size },
        (_, i) => `${id}g${Math.floor(i / 4)}-${i}`,
      ),
      scoringPrefix,
    };
  }

  /** Sends plain calls, alternately non-idempotent and idempotent ones. */
  async #runCaller(): Promise<void> {
    const trainer = this.#createTrainer();
    for (let i = 0; !this.#isStopping; i += 1) {
      const isNonIdempotent = i % 2 === 0;
      const id = `${isNonIdempotent ? "once" : "plain"}-${i}`;
      try {
        const path = `${isNonIdempotent ? once : plain}${i}`;
        const response = await trainer.sendCall(path, {
          id,
          deadlineMs: 2_000,
        });
        this.#check(() => this.#options.checks.onCall(id, response));
        this.#counts.calls += 1;
      } catch (err) {
        this.#options.log(`call ${id}: ${(err as Error).message}`);
      }
      await sleep(40);
    }
  }

  /** Reads streams, and resumes them after each broken connection. */
  async #runStreamCaller(name: string): Promise<void> {
    const caller = new StreamCaller({
      entries: () => this.#options.fleet.entries,
      host,
      key: this.#options.key,
      prefix: stream,
      model,
      isServed: (software) => this.#options.isServed(software),
    });
    for (let i = 0; !this.#isStopping; i += 1) {
      const options = { timeoutMs: STREAM_TIMEOUT_MS };
      const held = await caller.read(`${name}-${i}`, options);
      this.#counts.begun += held.events.length > 0 ? 1 : 0;
      this.#counts.asked += 1;
      this.#check(() => this.#options.checks.onStream(held));
      this.#counts.streams += held.isComplete ? 1 : 0;
      this.#counts.resumeAttempts += held.resumeAttempts > 0 ? 1 : 0;
      this.#counts.resumed += held.resumed > 0 ? 1 : 0;
    }
  }

  /** Replaces the policy and announces weights at random intervals. */
  async #runOperator(): Promise<void> {
    const timeoutMs = this.#options.timeoutMs;
    while (!this.#isStopping) {
      await sleep(400 + this.#options.random() * 800);
      const revision = this.#counts.policies + 1;
      await this.#runChecked(`policy ${revision}`, async () => {
        const policy = fleetPolicy({
          version: revision,
          keys: [this.#options.key],
        });
        await this.#options.fleet.putPolicy(policy, timeoutMs);
        this.#options.checks.onAcked(revision);
        this.#counts.policies = revision;
      });
      if (this.#options.random() < 0.5) continue;
      const version = this.#weightVersion + 1;
      await this.#runChecked(`weights ${version}`, async () => {
        const body = { model, version };
        await this.#options.fleet.sendToControl("POST", "/-/version-put", {
          body,
          timeoutMs,
        });
        this.#weightVersion = version;
      });
    }
  }

  /** Reads the policy; a read that fails is skipped. */
  async #runPolicyReader(): Promise<void> {
    while (!this.#isStopping) {
      await sleep(150);
      const acked = this.#options.checks.highestAcked;
      let policy: { version: number };
      try {
        policy = await this.#options.fleet.readPolicy(READ_TIMEOUT_MS) as never;
      } catch {
        // An instance that cannot confirm that its policy is current refuses.
        continue;
      }
      this.#check(() => this.#options.checks.onPolicy(policy.version, acked));
    }
  }

  /** Runs a task; its error ends the run as a violation. */
  async #runChecked(
    description: string,
    task: () => Promise<void>,
  ): Promise<void> {
    if (this.#isStopping) return;
    try {
      await task();
    } catch (err) {
      this.#options.log(`${description}: ${(err as Error).message}`);
      this.#options.onError(err);
    }
  }

  #check(check: () => void): void {
    try {
      check();
    } catch (err) {
      this.#options.onError(err);
    }
  }
}

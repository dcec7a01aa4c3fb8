/** Runs the steps of this data centre's trainers. */
import { createHash } from "node:crypto";
import type { ControlState } from "../../core/control/mod.ts";
import { InvariantError } from "../../core/invariants/mod.ts";
import {
  type StepKey,
  type StepLedger,
  StepStatus,
} from "../../core/ledger/mod.ts";
import {
  type DeliveredSample,
  type MadeSample,
  StalenessGate,
  type StepEffects,
  StepRunner,
  type StepSpec,
} from "../../core/samples/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import { type DispatchTask, type Job } from "../targets/mod.ts";
import { type SampleFailure, SampleJob } from "./sample_job.ts";
import type { ReadOptions, StepPort, StepReading } from "./step_port.ts";
import type { UsageMeter } from "./usage_meter.ts";

/** Options of {@link StepTask}. */
export interface StepTaskOptions {
  /** Ledger of the data centre. */
  readonly ledger: LedgerPort;
  /** Control log. */
  readonly control: ControlPort;
  /** Where work runs. */
  readonly dispatch: DispatchTask;
  /** Counts use. */
  readonly usage: UsageMeter;
  /** Logs. */
  readonly logger: Logger;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Distinguishes the work of two processes. */
  readonly incarnation: string;
}

interface ActiveStep {
  readonly key: StepKey;
  readonly runner: StepRunner;
  /** The delivery that runs now; deliveries of a step never overlap. */
  delivery: Promise<void>;
  readonly waiters: Set<() => void>;
}

/** Time between two looks at stragglers and aged samples. */
const TICK_MS = 100;
/** Time before a failed slot is tried again, in milliseconds. */
const RETRY_MS = 200;
/** Samples that get their numbers in one record. */
const MAX_DELIVERY = 256;

/** Owns the running steps. */
export class StepTask implements StepPort {
  readonly #options: StepTaskOptions;
  readonly #active = new Map<string, ActiveStep>();
  readonly #gates = new Map<string, StalenessGate>();
  readonly #timer: NodeJS.Timeout;

  /** Creates the task; it runs steps while the ledger is primary here. */
  constructor(options: StepTaskOptions) {
    this.#options = options;
    this.#onRestored(options.control.state);
    options.control.onRestored((state) => this.#onRestored(state));
    options.ledger.onPrimary((isPrimary) =>
      isPrimary ? this.#resume() : this.#abandon()
    );
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Gets the number of steps that run. */
  get size(): number {
    return this.#active.size;
  }

  /**
   * Submits a step; the same step again changes nothing.
   * @throws RefusalError where another step has the same identifier.
   */
  async submit(spec: StepSpec): Promise<StepReading> {
    const key = { workspace: spec.workspace, step: spec.id };
    const known = this.#options.ledger.state.getStep(key);
    if (known !== undefined) {
      if (isSameStep(known.spec, spec)) return readingOf(known, []);
      throw new RefusalError(
        RefusalReason.IdempotencyConflict,
        Verdict.NotRun,
        { message: "Another step has this identifier" },
      );
    }
    await this.#options.ledger.append({ type: "stepSubmitted", step: spec });
    const step = this.getStepOrThrow(key);
    this.#options.logger.event("stepSubmitted", {
      workspace: spec.workspace,
      step: spec.id,
      samples: step.total,
    });
    this.#run(step);
    return readingOf(step, []);
  }

  /** Gets a step of the ledger. */
  getStepOrThrow(key: StepKey): StepLedger {
    const step = this.#options.ledger.state.getStep(key);
    if (step !== undefined) return step;
    throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
      message: "Unknown step",
    });
  }

  /** Gets the state of a step, without samples. */
  show(key: StepKey): Promise<StepReading> {
    return Promise.resolve(readingOf(this.getStepOrThrow(key), []));
  }

  /** Gives ready samples their numbers and gets those after a number. */
  async read(key: StepKey, options: ReadOptions): Promise<StepReading> {
    const step = this.getStepOrThrow(key);
    const until = this.#options.now() + options.waitMs;
    await this.#deliver(key);
    while (!hasNews(step, options.after)) {
      const leftMs = until - this.#options.now();
      if (leftMs <= 0) break;
      await this.#waitForSample(key, leftMs);
      await this.#deliver(key);
    }
    const samples = step.read(options.after).slice(0, options.max);
    return readingOf(step, samples);
  }

  /** Acknowledges samples up to a number. */
  async ack(key: StepKey, through: number): Promise<StepReading> {
    const step = this.getStepOrThrow(key);
    await this.#options.ledger.append({
      type: "samplesAcked",
      ...key,
      through,
    });
    return readingOf(step, []);
  }

  /** Cancels a step and its running work. */
  async cancel(key: StepKey): Promise<StepReading> {
    const step = this.getStepOrThrow(key);
    await this.#options.ledger.append({ type: "stepCancelled", ...key });
    this.#stop(key);
    this.#options.logger.event("stepCancelled", { ...key });
    return readingOf(step, []);
  }

  /** Cancels the steps that a withdrawn key has submitted. */
  async onKeyWithdrawn(keyId: string): Promise<void> {
    for (const { key, runner } of [...this.#active.values()]) {
      if (runner.spec.keyId === keyId) await this.cancel(key);
    }
  }

  /** Takes in newly announced weights. */
  onWeights(model: string, version: number): void {
    const now = this.#options.now();
    if (!this.#gateOf(model).announce(version, now)) return;
    for (const active of this.#active.values()) {
      if (active.runner.spec.model !== model) continue;
      this.#apply(active, active.runner.onAnnounced(now));
    }
  }

  /** Ends the timer. */
  stop(): void {
    clearInterval(this.#timer);
    this.#abandon();
  }

  #onRestored(state: ControlState): void {
    for (const [model, { version }] of state.weights) {
      this.onWeights(model, version);
    }
  }

  #gateOf(model: string): StalenessGate {
    const gate = this.#gates.get(model) ?? new StalenessGate();
    this.#gates.set(model, gate);
    return gate;
  }

  #resume(): void {
    const open = this.#options.ledger.state.steps
      .filter((step) => step.status === StepStatus.Open);
    for (const step of open) this.#run(step);
    if (open.length === 0) return;
    this.#options.logger.event("stepsResumed", { steps: open.length });
  }

  #abandon(): void {
    for (const { key } of [...this.#active.values()]) this.#stop(key);
  }

  #run(step: StepLedger): void {
    const { spec } = step;
    const key = { workspace: spec.workspace, step: spec.id };
    if (this.#active.has(nameOf(key))) return;
    const runner = new StepRunner(spec, {
      gate: this.#gateOf(spec.model),
      delivered: step.deliveredSlots,
      failed: step.failures.map((failure) => failure.slot),
      hash: hashOf,
      maxAttempts: 3,
      epoch: this.#options.incarnation,
    });
    const active: ActiveStep = {
      key,
      runner,
      delivery: Promise.resolve(),
      waiters: new Set(),
    };
    this.#active.set(nameOf(key), active);
    this.#apply(active, runner.start(this.#options.now()));
  }

  #stop(key: StepKey): void {
    const active = this.#active.get(nameOf(key));
    if (active === undefined) return;
    this.#active.delete(nameOf(key));
    for (const id of active.runner.openItems()) {
      this.#options.dispatch.cancel(id);
    }
    this.#options.usage.add(active.runner.spec, {
      wastedTokens: active.runner.wastedTokens,
    });
    wake(active);
  }

  #apply(active: ActiveStep, effects: StepEffects): void {
    const { dispatch, metrics, logger } = this.#options;
    for (const reason of effects.discarded) {
      metrics.count(`samples.discarded.${reason}`);
      logger.event("sampleDiscarded", { ...active.key, reason });
    }
    for (const id of effects.cancel) dispatch.cancel(id);
    for (const item of effects.submit) {
      dispatch.submit(this.#createJob(active, item.id, item));
    }
    if (active.runner.ready > 0) wake(active);
  }

  #createJob(active: ActiveStep, itemId: string, item: Job["item"]): Job {
    const slot = active.runner.getSlotOf(itemId);
    const { control, now } = this.#options;
    const route = control.state.configuration.document.routes[item.route];
    return new SampleJob({
      item,
      body: slot?.group.body ?? {},
      model: item.pool,
      slot: slot?.index ?? 0,
      timeoutMs: route?.timeoutMs,
      now,
      onPlaced: (targetId) => active.runner.onPlaced(itemId, targetId, now()),
      onMade: (sample) => this.#onMade(active, itemId, sample),
      onFailed: (failure) => this.#onFailed(active, itemId, failure),
    });
  }

  #onMade(active: ActiveStep, itemId: string, sample: MadeSample): void {
    const { metrics, usage, now } = this.#options;
    metrics.count("samples.made");
    usage.add(active.runner.spec, { requests: 1, tokens: sample.tokens });
    if (!this.#isActive(active)) return;
    this.#apply(active, active.runner.onMade(itemId, sample, now()));
  }

  #onFailed(
    active: ActiveStep,
    itemId: string,
    failure: SampleFailure,
  ): void {
    if (failure.isPermanent) {
      this.#giveUp(active, itemId, failure)
        .catch((err) => this.#options.logger.error(err, { ...active.key }));
      return;
    }
    setTimeout(() => {
      if (!this.#isActive(active)) return;
      const { now } = this.#options;
      this.#apply(active, active.runner.onFailed(itemId, now()));
    }, RETRY_MS);
  }

  async #giveUp(
    active: ActiveStep,
    itemId: string,
    failure: SampleFailure,
  ): Promise<void> {
    const { ledger } = this.#options;
    const slot = active.runner.giveUp(itemId);
    if (slot === undefined || !this.#isActive(active)) return;
    const { key } = active;
    const { reason } = failure;
    await ledger.append({
      type: "slotFailed",
      ...key,
      failure: { slot: slot.index, group: slot.group.id, reason },
    });
    this.#options.logger.event("sampleGivenUp", {
      ...key,
      slot: slot.index,
      reason,
    });
    wake(active);
    this.#endIfDone(active);
  }

  #endIfDone(active: ActiveStep): void {
    const { key, runner } = active;
    if (!runner.isDone || !this.#isActive(active)) return;
    this.#options.logger.event("stepDone", { ...key, samples: runner.total });
    this.#stop(key);
  }

  #isActive(active: ActiveStep): boolean {
    return this.#active.get(nameOf(active.key)) === active;
  }

  #deliver(key: StepKey): Promise<void> {
    const active = this.#active.get(nameOf(key));
    if (active === undefined) return Promise.resolve();
    active.delivery = active.delivery.then(() => this.#deliverReady(active));
    return active.delivery;
  }

  async #deliverReady(active: ActiveStep): Promise<void> {
    const { ledger, now, metrics, usage, logger } = this.#options;
    if (!this.#isActive(active)) return;
    const { key, runner } = active;
    const samples = runner.peekReady(MAX_DELIVERY, now());
    if (samples.length === 0) return;
    try {
      await ledger.append({ type: "samplesDelivered", ...key, samples });
    } catch (err) {
      if (err instanceof InvariantError) logger.error(err, { ...key });
      return;
    }
    runner.onDelivered(samples);
    metrics.count("samples.delivered", samples.length);
    usage.add(runner.spec, { samples: samples.length });
    this.#endIfDone(active);
  }

  #waitForSample(key: StepKey, waitMs: number): Promise<void> {
    const active = this.#active.get(nameOf(key));
    if (active === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        active.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      active.waiters.add(done);
    });
  }

  #tick(): void {
    const now = this.#options.now();
    for (const active of this.#active.values()) {
      this.#apply(active, active.runner.tick(now));
    }
  }
}

function nameOf(key: StepKey): string {
  return `${key.workspace}/${key.step}`;
}

function hashOf(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}

function isSameStep(a: StepSpec, b: StepSpec): boolean {
  const partOf = ({ groups, route, staleness }: StepSpec) =>
    JSON.stringify({ groups, route, staleness });
  return partOf(a) === partOf(b);
}

function hasNews(step: StepLedger, after: number): boolean {
  return step.status !== StepStatus.Open || step.read(after).length > 0;
}

function readingOf(
  step: StepLedger,
  samples: readonly DeliveredSample[],
): StepReading {
  const { status, total, delivered, acked, failures } = step;
  return { status, total, delivered, acked, failures, samples };
}

function wake(active: ActiveStep): void {
  for (const waiter of [...active.waiters]) waiter();
}

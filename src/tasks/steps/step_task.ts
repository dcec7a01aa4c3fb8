/** Runs the steps of a data centre on its ledger primary. */
import { createHash } from "node:crypto";
import type { ControlState } from "../../core/control/mod.ts";
import { InvariantError } from "../../core/invariants/mod.ts";
import {
  type StepKey,
  type StepLedger,
  StepStatus,
} from "../../core/ledger/mod.ts";
import {
  type CompletedSample,
  type DeliveredSample,
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
import type { ReadOptions, StepPort, StepState } from "./step_port.ts";
import type { UsageMeter } from "./usage_meter.ts";

/** Options of {@link StepTask}. */
export interface StepTaskOptions {
  readonly ledger: LedgerPort;
  readonly control: ControlPort;
  /** Runs the items of steps at targets. */
  readonly dispatch: DispatchTask;
  readonly usage: UsageMeter;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
  /**
   * Incarnation of this process, which keeps its item IDs apart from those of
   * other processes.
   */
  readonly incarnation: string;
}

interface ActiveStep {
  readonly key: StepKey;
  readonly runner: StepRunner;
  /** The latest delivery; deliveries of a step are serialized. */
  delivery: Promise<void>;
  /** Callbacks of the reads that wait for a sample. */
  readonly waiters: Set<() => void>;
}

/** Interval of the check for stragglers and outdated samples. */
const TICK_INTERVAL_MS = 100;
/** Delay before a failed slot is retried. */
const SLOT_RETRY_DELAY_MS = 200;
/** Maximum number of samples delivered by one ledger record. */
const MAX_SAMPLES_PER_DELIVERY = 256;

/** Runs the open steps while this instance is the ledger primary. */
export class StepTask implements StepPort {
  readonly #options: StepTaskOptions;
  readonly #active = new Map<string, ActiveStep>();
  /** Staleness gates by model. */
  readonly #gates = new Map<string, StalenessGate>();
  readonly #timer: NodeJS.Timeout;

  /**
   * Creates the task; it starts and stops steps as the ledger primary changes.
   */
  constructor(options: StepTaskOptions) {
    this.#options = options;
    this.#onRestored(options.control.state);
    options.control.onRestored((state) => this.#onRestored(state));
    options.ledger.onPrimaryChanged((isPrimary) =>
      isPrimary ? this.#resumeOpenSteps() : this.#stopAll()
    );
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  /** Gets the number of running steps. */
  get size(): number {
    return this.#active.size;
  }

  /**
   * Submits a step; submitting the same step again has no effect.
   * @throws RefusalError if a different step has the same identifier.
   */
  async submit(spec: StepSpec): Promise<StepState> {
    const key = { workspace: spec.workspace, step: spec.id };
    const existing = this.#options.ledger.state.getStep(key);
    if (existing !== undefined) {
      if (isSameStep(existing.spec, spec)) return toStepState(existing, []);
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
    this.#startRunner(step);
    return toStepState(step, []);
  }

  /**
   * Gets a step from the ledger.
   * @throws RefusalError if it does not exist.
   */
  getStepOrThrow(key: StepKey): StepLedger {
    const step = this.#options.ledger.state.getStep(key);
    if (step !== undefined) return step;
    throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
      message: "Unknown step",
    });
  }

  /** Gets the state of a step without samples. */
  show(key: StepKey): Promise<StepState> {
    return Promise.resolve(toStepState(this.getStepOrThrow(key), []));
  }

  /**
   * Delivers ready samples and returns those after a sequence number. Waits
   * until there is one, the step has ended or the wait time is over.
   */
  async read(key: StepKey, options: ReadOptions): Promise<StepState> {
    const step = this.getStepOrThrow(key);
    const deadline = this.#options.now() + options.waitMs;
    await this.#deliver(key);
    while (!hasResultAfter(step, options.after)) {
      const remainingMs = deadline - this.#options.now();
      if (remainingMs <= 0) break;
      await this.#waitForSample(key, remainingMs);
      await this.#deliver(key);
    }
    const samples = step.read(options.after).slice(0, options.max);
    return toStepState(step, samples);
  }

  /** Acknowledges all samples up to a sequence number. */
  async ack(key: StepKey, through: number): Promise<StepState> {
    const step = this.getStepOrThrow(key);
    await this.#options.ledger.append({
      type: "samplesAcked",
      ...key,
      through,
    });
    return toStepState(step, []);
  }

  /** Cancels a step and its items. */
  async cancel(key: StepKey): Promise<StepState> {
    const step = this.getStepOrThrow(key);
    await this.#options.ledger.append({ type: "stepCancelled", ...key });
    this.#stopStep(key);
    this.#options.logger.event("stepCancelled", { ...key });
    return toStepState(step, []);
  }

  /** Cancels the running steps that were submitted under a withdrawn key. */
  async onKeyWithdrawn(keyId: string): Promise<void> {
    for (const { key, runner } of [...this.#active.values()]) {
      if (runner.spec.keyId === keyId) await this.cancel(key);
    }
  }

  /** Applies a newly announced weight version to the steps of its model. */
  onWeightsAnnounced(model: string, version: number): void {
    const now = this.#options.now();
    if (!this.#getGate(model).announce(version, now)) return;
    for (const active of this.#active.values()) {
      if (active.runner.spec.model !== model) continue;
      this.#applyEffects(active, active.runner.onVersionAnnounced(now));
    }
  }

  /** Stops all running steps, without cancelling them in the ledger. */
  stop(): void {
    clearInterval(this.#timer);
    this.#stopAll();
  }

  #onRestored(state: ControlState): void {
    for (const [model, { version }] of state.weights) {
      this.onWeightsAnnounced(model, version);
    }
  }

  #getGate(model: string): StalenessGate {
    const gate = this.#gates.get(model) ?? new StalenessGate();
    this.#gates.set(model, gate);
    return gate;
  }

  #resumeOpenSteps(): void {
    const open = this.#options.ledger.state.steps
      .filter((step) => step.status === StepStatus.Open);
    for (const step of open) this.#startRunner(step);
    if (open.length === 0) return;
    this.#options.logger.event("stepsResumed", { steps: open.length });
  }

  #stopAll(): void {
    for (const { key } of [...this.#active.values()]) this.#stopStep(key);
  }

  #startRunner(step: StepLedger): void {
    const { spec } = step;
    const key = { workspace: spec.workspace, step: spec.id };
    if (this.#active.has(toKeyString(key))) return;
    const runner = new StepRunner(spec, {
      gate: this.#getGate(spec.model),
      delivered: step.deliveredSlots,
      failed: step.failures.map((failure) => failure.slot),
      hash: hashText,
      maxAttempts: 3,
      epoch: this.#options.incarnation,
    });
    const active: ActiveStep = {
      key,
      runner,
      delivery: Promise.resolve(),
      waiters: new Set(),
    };
    this.#active.set(toKeyString(key), active);
    this.#applyEffects(active, runner.start(this.#options.now()));
  }

  #stopStep(key: StepKey): void {
    const active = this.#active.get(toKeyString(key));
    if (active === undefined) return;
    this.#active.delete(toKeyString(key));
    for (const id of active.runner.openItemIds()) {
      this.#options.dispatch.cancel(id);
    }
    this.#options.usage.add(active.runner.spec, {
      wastedTokens: active.runner.wastedTokens,
    });
    wakeReaders(active);
  }

  #applyEffects(active: ActiveStep, effects: StepEffects): void {
    const { dispatch, metrics, logger } = this.#options;
    for (const reason of effects.discarded) {
      metrics.count(`samples.discarded.${reason}`);
      logger.event("sampleDiscarded", { ...active.key, reason });
    }
    for (const id of effects.cancel) dispatch.cancel(id);
    for (const item of effects.submit) {
      dispatch.submit(this.#createJob(active, item.id, item));
    }
    if (active.runner.ready > 0) wakeReaders(active);
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
      onCompleted: (sample) => this.#onSampleCompleted(active, itemId, sample),
      onFailed: (failure) => this.#onSampleFailed(active, itemId, failure),
    });
  }

  #onSampleCompleted(
    active: ActiveStep,
    itemId: string,
    sample: CompletedSample,
  ): void {
    const { metrics, usage, now } = this.#options;
    metrics.count("samples.made");
    usage.add(active.runner.spec, { requests: 1, tokens: sample.tokens });
    if (!this.#isActive(active)) return;
    this.#applyEffects(
      active,
      active.runner.onCompleted(itemId, sample, now()),
    );
  }

  #onSampleFailed(
    active: ActiveStep,
    itemId: string,
    failure: SampleFailure,
  ): void {
    if (failure.isPermanent) {
      this.#failSlot(active, itemId, failure)
        .catch((err) => this.#options.logger.error(err, { ...active.key }));
      return;
    }
    setTimeout(() => {
      if (!this.#isActive(active)) return;
      const { now } = this.#options;
      this.#applyEffects(active, active.runner.onFailed(itemId, now()));
    }, SLOT_RETRY_DELAY_MS);
  }

  async #failSlot(
    active: ActiveStep,
    itemId: string,
    failure: SampleFailure,
  ): Promise<void> {
    const { ledger } = this.#options;
    const slot = active.runner.failSlot(itemId);
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
    wakeReaders(active);
    this.#stopIfDone(active);
  }

  #stopIfDone(active: ActiveStep): void {
    const { key, runner } = active;
    if (!runner.isDone || !this.#isActive(active)) return;
    this.#options.logger.event("stepDone", { ...key, samples: runner.total });
    this.#stopStep(key);
  }

  #isActive(active: ActiveStep): boolean {
    return this.#active.get(toKeyString(active.key)) === active;
  }

  #deliver(key: StepKey): Promise<void> {
    const active = this.#active.get(toKeyString(key));
    if (active === undefined) return Promise.resolve();
    active.delivery = active.delivery.then(() => this.#deliverReady(active));
    return active.delivery;
  }

  async #deliverReady(active: ActiveStep): Promise<void> {
    const { ledger, now, metrics, usage, logger } = this.#options;
    if (!this.#isActive(active)) return;
    const { key, runner } = active;
    const samples = runner.peekReady(MAX_SAMPLES_PER_DELIVERY, now());
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
    this.#stopIfDone(active);
  }

  #waitForSample(key: StepKey, waitMs: number): Promise<void> {
    const active = this.#active.get(toKeyString(key));
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
      this.#applyEffects(active, active.runner.tick(now));
    }
  }
}

function toKeyString(key: StepKey): string {
  return `${key.workspace}/${key.step}`;
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}

function isSameStep(a: StepSpec, b: StepSpec): boolean {
  const toComparable = ({ groups, route, staleness }: StepSpec) =>
    JSON.stringify({ groups, route, staleness });
  return toComparable(a) === toComparable(b);
}

function hasResultAfter(step: StepLedger, after: number): boolean {
  return step.status !== StepStatus.Open || step.read(after).length > 0;
}

function toStepState(
  step: StepLedger,
  samples: readonly DeliveredSample[],
): StepState {
  const { status, total, delivered, acked, failures } = step;
  return { status, total, delivered, acked, failures, samples };
}

function wakeReaders(active: ActiveStep): void {
  for (const waiter of [...active.waiters]) waiter();
}

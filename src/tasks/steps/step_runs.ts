/** The running steps of a data centre: their items, samples and deliveries. */
import { createHash } from "node:crypto";
import { InvariantError } from "../../core/invariants/mod.ts";
import {
  formatStepKey,
  type StepKey,
  type StepLedger,
} from "../../core/ledger/mod.ts";
import {
  type CompletedSample,
  StalenessGate,
  type StepEffects,
  StepRunner,
} from "../../core/samples/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import { type DispatchTask, type Job } from "../targets/mod.ts";
import { type SampleFailure, SampleJob } from "./sample_job.ts";
import { SampleWaiters } from "./sample_waiters.ts";
import type { UsageMeter } from "./usage_meter.ts";

/** Options of {@link StepRuns}. */
export interface StepRunsOptions {
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
  /** Reads that wait for a sample. */
  readonly waiters: SampleWaiters;
}

/** Maximum number of attempts of an item, after which its slot is retried. */
const MAX_ITEM_ATTEMPTS = 3;
/** Delay before a failed slot is retried. */
const SLOT_RETRY_DELAY_MS = 200;
/** Maximum number of samples delivered by one ledger record. */
const MAX_SAMPLES_PER_DELIVERY = 256;

/** Runs the items of open steps, and delivers their samples to the ledger. */
export class StepRuns {
  readonly #options: StepRunsOptions;
  readonly #active = new Map<string, ActiveStep>();
  /** Staleness gates by model. */
  readonly #gates = new Map<string, StalenessGate>();

  constructor(options: StepRunsOptions) {
    this.#options = options;
  }

  /** Gets the number of running steps. */
  get size(): number {
    return this.#active.size;
  }

  /** Gets the running steps that were submitted under a key. */
  withKey(keyId: string): StepKey[] {
    return [...this.#active.values()]
      .filter(({ runner }) => runner.spec.keyId === keyId)
      .map(({ key }) => key);
  }

  /** Starts the items of a step that is not running yet. */
  start(step: StepLedger): void {
    const { spec } = step;
    const key = { workspace: spec.workspace, step: spec.id };
    if (this.#active.has(formatStepKey(key))) return;
    const runner = new StepRunner(spec, {
      gate: this.#getGate(spec.model),
      delivered: step.deliveredSlots,
      failed: step.failures.map((failure) => failure.slot),
      hash: hashText,
      maxAttempts: MAX_ITEM_ATTEMPTS,
      epoch: this.#options.incarnation,
    });
    const active: ActiveStep = {
      key,
      runner,
      delivery: Promise.resolve(),
      waiters: new SampleWaiters(),
    };
    this.#active.set(formatStepKey(key), active);
    this.#applyEffects(active, runner.start(this.#options.now()));
  }

  /** Stops a step and its items, without cancelling it in the ledger. */
  stop(key: StepKey): void {
    const active = this.#active.get(formatStepKey(key));
    if (active === undefined) return;
    this.#active.delete(formatStepKey(key));
    for (const id of active.runner.openItemIds()) {
      this.#options.dispatch.cancel(id);
    }
    this.#options.usage.add(active.runner.spec, {
      wastedTokens: active.runner.wastedTokens,
    });
    active.waiters.wake();
  }

  /** Stops all running steps, without cancelling them in the ledger. */
  stopAll(): void {
    for (const { key } of [...this.#active.values()]) this.stop(key);
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

  /** Checks for stragglers and outdated samples. */
  tick(): void {
    const now = this.#options.now();
    for (const active of this.#active.values()) {
      this.#applyEffects(active, active.runner.tick(now));
    }
  }

  /** Writes the ready samples of a step to the ledger, if it is running. */
  deliver(key: StepKey): Promise<void> {
    const active = this.#active.get(formatStepKey(key));
    if (active === undefined) return Promise.resolve();
    active.delivery = active.delivery.then(() => this.#deliverReady(active));
    return active.delivery;
  }

  /** Waits until a step has a sample or has ended, at most for a time. */
  async waitForSample(key: StepKey, waitMs: number): Promise<void> {
    await this.#active.get(formatStepKey(key))?.waiters.wait(waitMs);
  }

  #getGate(model: string): StalenessGate {
    const gate = this.#gates.get(model) ?? new StalenessGate();
    this.#gates.set(model, gate);
    return gate;
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
    if (active.runner.ready > 0) active.waiters.wake();
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
    active.waiters.wake();
    this.#stopIfDone(active);
  }

  #stopIfDone(active: ActiveStep): void {
    const { key, runner } = active;
    if (!runner.isDone || !this.#isActive(active)) return;
    this.#options.logger.event("stepDone", { ...key, samples: runner.total });
    this.stop(key);
  }

  #isActive(active: ActiveStep): boolean {
    return this.#active.get(formatStepKey(active.key)) === active;
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
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}

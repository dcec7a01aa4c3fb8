/** Runs the steps of a data centre on its ledger primary. */
import type { ControlState } from "../../core/control/mod.ts";
import {
  type StepKey,
  type StepLedger,
  StepStatus,
} from "../../core/ledger/mod.ts";
import type { DeliveredSample, StepSpec } from "../../core/samples/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { ReadOptions, StepPort, StepState } from "./step_port.ts";
import { StepRuns, type StepRunsOptions } from "./step_runs.ts";

/** Options of {@link StepTask}. */
export type StepTaskOptions = StepRunsOptions;

/** Interval of the check for stragglers and outdated samples. */
const TICK_INTERVAL_MS = 100;

/** Runs the open steps while this instance is the ledger primary. */
export class StepTask implements StepPort {
  readonly #options: StepTaskOptions;
  readonly #runs: StepRuns;
  readonly #timer: NodeJS.Timeout;

  /**
   * Creates the task; it starts and stops steps as the ledger primary changes.
   */
  constructor(options: StepTaskOptions) {
    this.#options = options;
    this.#runs = new StepRuns(options);
    this.#onRestored(options.control.state);
    options.control.onRestored((state) => this.#onRestored(state));
    options.ledger.onPrimaryChanged((isPrimary) =>
      isPrimary ? this.#resumeOpenSteps() : this.#runs.stopAll()
    );
    this.#timer = setInterval(() => this.#runs.tick(), TICK_INTERVAL_MS);
  }

  /** Gets the number of running steps. */
  get size(): number {
    return this.#runs.size;
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
    this.#runs.start(step);
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
    await this.#runs.deliver(key);
    while (!hasResultAfter(step, options.after)) {
      const remainingMs = deadline - this.#options.now();
      if (remainingMs <= 0) break;
      await this.#runs.waitForSample(key, remainingMs);
      await this.#runs.deliver(key);
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
    this.#runs.stop(key);
    this.#options.logger.event("stepCancelled", { ...key });
    return toStepState(step, []);
  }

  /** Cancels the running steps that were submitted under a withdrawn key. */
  async onKeyWithdrawn(keyId: string): Promise<void> {
    for (const key of this.#runs.withKey(keyId)) await this.cancel(key);
  }

  /** Applies a newly announced weight version to the steps of its model. */
  onWeightsAnnounced(model: string, version: number): void {
    this.#runs.onWeightsAnnounced(model, version);
  }

  /** Stops all running steps, without cancelling them in the ledger. */
  stop(): void {
    clearInterval(this.#timer);
    this.#runs.stopAll();
  }

  #onRestored(state: ControlState): void {
    for (const [model, { version }] of state.weights) {
      this.onWeightsAnnounced(model, version);
    }
  }

  #resumeOpenSteps(): void {
    const open = this.#options.ledger.state.steps
      .filter((step) => step.status === StepStatus.Open);
    for (const step of open) this.#runs.start(step);
    if (open.length === 0) return;
    this.#options.logger.event("stepsResumed", { steps: open.length });
  }
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

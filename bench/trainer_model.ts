/** Simulated trainer that waits for steps, trains and announces weights. */
import {
  type CompletedSample,
  type DeliveredSample,
  StalenessGate,
  type StepEffects,
  StepRunner,
  type StepSpec,
} from "../src/core/samples/mod.ts";
import { POOL, type Simulation } from "./simulation.ts";

/** Options of {@link TrainerModel}. */
export interface TrainerModelOptions {
  readonly simulation: Simulation;
  readonly workspace: string;
  /** Number of groups in a step. */
  readonly groups: number;
  /** Number of samples in a group. */
  readonly samplesPerGroup: number;
  /** Draws the number of tokens of a sample. */
  readonly drawTokens: () => number;
  /** Prompt tokens of each sample. */
  readonly promptTokens: number;
  /** Time to train on a step, in milliseconds. */
  readonly trainMs: number;
  /** Number of steps to run; unlimited if absent. */
  readonly steps?: number;
  /** Maximum staleness of a sample, in versions; 1 by default. */
  readonly maxVersionsBehind?: number;
  /** Called with the version of newly trained weights. */
  readonly onAnnounced?: (version: number) => void;
  /** Staleness gate to share with other trainers of the model. */
  readonly gate?: StalenessGate;
}

/** Measurements of a trainer. */
export interface TrainerFigures {
  /** Time that the trainer waited for each step, in milliseconds. */
  readonly idleMs: readonly number[];
  /** Staleness of each delivered sample, in versions. */
  readonly versionsBehind: readonly number[];
  /** Number of samples delivered. */
  readonly delivered: number;
  /** Tokens of samples that were discarded. */
  readonly wastedTokens: number;
}

const POLL_MS = 50;

/** Runs the product's step runner against a simulation. */
export class TrainerModel {
  readonly #options: TrainerModelOptions;
  readonly #gate: StalenessGate;
  readonly #idleMs: number[] = [];
  readonly #versionsBehind: number[] = [];
  readonly #tokensBySlot = new Map<string, number>();
  #runner: StepRunner | undefined;
  #deliveredSlots = new Map<number, DeliveredSample["slot"]>();
  #version = 1;
  #step = 0;
  #stepStartedAt = 0;
  #delivered = 0;
  #wastedTokens = 0;

  /** Creates a trainer and starts its first step. */
  constructor(options: TrainerModelOptions) {
    this.#options = options;
    this.#gate = options.gate ?? new StalenessGate();
    this.#gate.announce(1, options.simulation.now);
    options.simulation.every(POLL_MS, () => this.#poll());
    this.#startStep();
  }

  /** Gets whether all samples of the last step are delivered. */
  get isDone(): boolean {
    return this.#runner === undefined && this.#step >= this.#lastStep;
  }

  get figures(): TrainerFigures {
    return {
      idleMs: this.#idleMs,
      versionsBehind: this.#versionsBehind,
      delivered: this.#delivered,
      wastedTokens: this.#wastedTokens + (this.#runner?.wastedTokens ?? 0),
    };
  }

  get #lastStep(): number {
    return this.#options.steps ?? Infinity;
  }

  #startStep(): void {
    if (this.#step >= this.#lastStep) return;
    this.#step += 1;
    const { simulation, workspace, groups, samplesPerGroup } = this.#options;
    this.#stepStartedAt = simulation.now;
    this.#deliveredSlots = new Map();
    const spec: StepSpec = {
      id: `s${this.#step}`,
      workspace,
      keyId: workspace,
      route: POOL,
      model: POOL,
      groups: Array.from({ length: groups }, (_, i) => ({
        id: `g${i}`,
        body: { prompt: `${workspace} ${this.#step} ${i}` },
        samples: samplesPerGroup,
      })),
      staleness: {
        maxVersionsBehind: this.#options.maxVersionsBehind ?? 1,
      },
      deadline: Infinity,
      tokensPerSample: 256,
    };
    this.#runner = new StepRunner(spec, {
      gate: this.#gate,
      hash: (text) => text,
      maxAttempts: 1_000,
      hedges: simulation.policy.hedges,
      slowdownOf: (id) => simulation.dispatcher.slowdownOf(id, simulation.now),
    });
    this.#apply(this.#runner, this.#runner.start(simulation.now));
  }

  /** Gets the tokens of a slot; the same for each of its attempts. */
  #tokensOf(slot: number): number {
    const key = `${this.#step}/${slot}`;
    const tokens = this.#tokensBySlot.get(key) ?? this.#options.drawTokens();
    this.#tokensBySlot.set(key, tokens);
    return tokens;
  }

  #apply(runner: StepRunner, effects: StepEffects): void {
    const { simulation, promptTokens } = this.#options;
    for (const id of effects.cancel) simulation.cancel(id);
    for (const item of effects.submit) {
      const slot = runner.getSlotOf(item.id)?.index ?? 0;
      const tokens = this.#tokensOf(slot);
      simulation.submit({
        item: { ...item, prefixTokens: promptTokens },
        tokens,
        onPlaced: (targetId) =>
          runner.onPlaced(item.id, targetId, simulation.now),
        onEnd: (outcome) => {
          const effects = outcome.type === "refused"
            ? runner.onFailed(item.id, simulation.now)
            : runner.onCompleted(item.id, {
              slot,
              text: "",
              finishReason: "stop",
              tokens,
              versions: outcome.versions,
              firstTokenAt: outcome.firstTokenAt,
              targetId: outcome.targetId,
            }, simulation.now);
          this.#apply(runner, effects);
        },
      });
    }
  }

  #poll(): void {
    const runner = this.#runner;
    if (runner === undefined) return;
    const { now } = this.#options.simulation;
    const ready = runner.peekReady(10_000, now);
    this.#checkDelivered(ready);
    runner.onDelivered(ready);
    this.#delivered += ready.length;
    if (!runner.isDone) {
      this.#apply(runner, runner.tick(now));
      return;
    }
    this.#wastedTokens += runner.wastedTokens;
    this.#runner = undefined;
    this.#idleMs.push(now - this.#stepStartedAt);
    this.#options.simulation.scheduler.after(
      this.#options.trainMs,
      () => this.#train(),
    );
  }

  #checkDelivered(samples: readonly CompletedSample[]): void {
    const { simulation, maxVersionsBehind = 1 } = this.#options;
    for (const { slot, versions } of samples) {
      const versionsBehind = this.#version - Math.min(...versions);
      this.#versionsBehind.push(versionsBehind);
      if (versionsBehind > maxVersionsBehind) {
        simulation.violations.push(`Sample ${versionsBehind} versions behind`);
      }
      if (this.#deliveredSlots.has(slot)) {
        simulation.violations.push(`Slot ${slot} delivered twice`);
      }
      this.#deliveredSlots.set(slot, slot);
    }
  }

  #train(): void {
    this.#version += 1;
    const { simulation } = this.#options;
    this.#gate.announce(this.#version, simulation.now);
    this.#options.onAnnounced?.(this.#version);
    this.#startStep();
  }

  /** Applies weights that another trainer of the model announced. */
  onAnnounced(): void {
    const runner = this.#runner;
    if (runner === undefined) return;
    this.#apply(
      runner,
      runner.onVersionAnnounced(this.#options.simulation.now),
    );
  }
}

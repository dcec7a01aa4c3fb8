/** A trainer that waits for steps, trains, and announces weights. */
import {
  type DeliveredSample,
  type MadeSample,
  StalenessGate,
  type StepEffects,
  StepRunner,
  type StepSpec,
} from "../src/core/samples/mod.ts";
import { POOL, type World } from "./world.ts";

/** Options of {@link TrainerModel}. */
export interface TrainerModelOptions {
  /** World. */
  readonly world: World;
  /** Workspace. */
  readonly workspace: string;
  /** Groups of a step. */
  readonly groups: number;
  /** Samples of a group. */
  readonly samplesPerGroup: number;
  /** Gets the tokens of a sample. */
  readonly drawTokens: () => number;
  /** Prompt tokens of a group. */
  readonly promptTokens: number;
  /** Time to train on a step, in milliseconds. */
  readonly trainMs: number;
  /** Steps to run; endless where absent. */
  readonly steps?: number;
  /** Versions that a sample may lie behind. */
  readonly maxVersionsBehind?: number;
  /** Hears of new weights. */
  readonly onAnnounced?: (version: number) => void;
  /** Newest version at the start. */
  readonly gate?: StalenessGate;
}

/** What a trainer has measured. */
export interface TrainerFigures {
  /** Time that it waited for each step, in milliseconds. */
  readonly idleMs: readonly number[];
  /** Versions behind, of each delivered sample. */
  readonly behind: readonly number[];
  /** Samples delivered. */
  readonly delivered: number;
  /** Tokens generated and thrown away. */
  readonly wastedTokens: number;
}

const POLL_MS = 50;

/** Runs the product's step core against a world. */
export class TrainerModel {
  readonly #options: TrainerModelOptions;
  readonly #gate: StalenessGate;
  readonly #idleMs: number[] = [];
  readonly #behind: number[] = [];
  readonly #tokens = new Map<string, number>();
  #runner: StepRunner | undefined;
  #numbers = new Map<number, DeliveredSample["slot"]>();
  #version = 1;
  #step = 0;
  #startedAt = 0;
  #delivered = 0;
  #wasted = 0;

  /** Creates a trainer and starts its first step. */
  constructor(options: TrainerModelOptions) {
    this.#options = options;
    this.#gate = options.gate ?? new StalenessGate();
    this.#gate.announce(1, options.world.now);
    options.world.every(POLL_MS, () => this.#poll());
    this.#begin();
  }

  /** Gets whether all steps are done. */
  get isDone(): boolean {
    return this.#runner === undefined && this.#step >= this.#lastStep;
  }

  /** Gets what was measured. */
  get figures(): TrainerFigures {
    return {
      idleMs: this.#idleMs,
      behind: this.#behind,
      delivered: this.#delivered,
      wastedTokens: this.#wasted + (this.#runner?.wastedTokens ?? 0),
    };
  }

  get #lastStep(): number {
    return this.#options.steps ?? Infinity;
  }

  #begin(): void {
    if (this.#step >= this.#lastStep) return;
    this.#step += 1;
    const { world, workspace, groups, samplesPerGroup } = this.#options;
    this.#startedAt = world.now;
    this.#numbers = new Map();
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
      hedges: world.policy.hedges,
      slowdownOf: (id) => world.dispatcher.slowdownOf(id, world.now),
    });
    this.#apply(this.#runner, this.#runner.start(world.now));
  }

  /** A slot asks for the same tokens wherever it runs. */
  #tokensOf(slot: number): number {
    const name = `${this.#step}/${slot}`;
    const known = this.#tokens.get(name) ?? this.#options.drawTokens();
    this.#tokens.set(name, known);
    return known;
  }

  #apply(runner: StepRunner, effects: StepEffects): void {
    const { world, promptTokens } = this.#options;
    for (const id of effects.cancel) world.cancel(id);
    for (const item of effects.submit) {
      const slot = runner.getSlotOf(item.id)?.index ?? 0;
      const tokens = this.#tokensOf(slot);
      world.submit({
        item: { ...item, prefixTokens: promptTokens },
        tokens,
        onPlaced: (targetId) => runner.onPlaced(item.id, targetId, world.now),
        onEnd: (end) => {
          const effects = end.type === "refused"
            ? runner.onFailed(item.id, world.now)
            : runner.onMade(item.id, {
              slot,
              text: "",
              finishReason: "stop",
              tokens,
              versions: end.versions,
              firstTokenAt: end.firstTokenAt,
              targetId: end.targetId,
            }, world.now);
          this.#apply(runner, effects);
        },
      });
    }
  }

  #poll(): void {
    const runner = this.#runner;
    if (runner === undefined) return;
    const { now } = this.#options.world;
    const ready = runner.peekReady(10_000, now);
    this.#check(ready);
    runner.onDelivered(ready);
    this.#delivered += ready.length;
    if (!runner.isDone) {
      this.#apply(runner, runner.tick(now));
      return;
    }
    this.#wasted += runner.wastedTokens;
    this.#runner = undefined;
    this.#idleMs.push(now - this.#startedAt);
    this.#options.world.scheduler.after(
      this.#options.trainMs,
      () => this.#train(),
    );
  }

  #check(samples: readonly MadeSample[]): void {
    const { world, maxVersionsBehind = 1 } = this.#options;
    for (const { slot, versions } of samples) {
      const behind = this.#version - Math.min(...versions);
      this.#behind.push(behind);
      if (behind > maxVersionsBehind) {
        world.violations.push(`Sample ${behind} versions behind`);
      }
      if (this.#numbers.has(slot)) {
        world.violations.push(`Slot ${slot} delivered twice`);
      }
      this.#numbers.set(slot, slot);
    }
  }

  #train(): void {
    this.#version += 1;
    const { world } = this.#options;
    this.#gate.announce(this.#version, world.now);
    this.#options.onAnnounced?.(this.#version);
    this.#begin();
  }

  /** Takes in weights that another trainer of the model announced. */
  onAnnounced(): void {
    const runner = this.#runner;
    if (runner === undefined) return;
    this.#apply(runner, runner.onAnnounced(this.#options.world.now));
  }
}

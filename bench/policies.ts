/** Policies to compare: the product's and simple baselines. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { AdaptiveWindowOptions } from "../src/core/limits/mod.ts";
import {
  ExpectedTimePicker,
  type Picker,
  type PickInput,
  type Target,
} from "../src/core/routing/mod.ts";

/** Decision rules that a scenario runs with. */
export interface Policy {
  readonly name: string;
  /** Creates the picker that chooses among targets. */
  readonly createPicker: (seed: number) => Picker;
  /** Concurrency windows of targets; the product's if absent. */
  readonly window?: AdaptiveWindowOptions;
  /** Whether stragglers are hedged. */
  readonly hedges: boolean;
  /** Whether workspaces share capacity by weight; otherwise FIFO. */
  readonly isFair: boolean;
  /**
   * Whether the dispatcher gets the deadlines, so that it refuses requests
   * that cannot meet them and waits for faster targets.
   */
  readonly usesDeadlines: boolean;
  /** Whether the dispatcher gets the progress of running requests. */
  readonly reportsProgress: boolean;
  /** Whether targets are ordered in spot zones. */
  readonly usesSpotZones: boolean;
}

/** Picks targets in turn, in order of their identifiers. */
export class RoundRobinPicker implements Picker {
  #next = 0;

  /** Picks the next target. */
  pick(input: PickInput): Target | undefined {
    const { candidates } = input;
    if (candidates.length === 0) return undefined;
    const sorted = [...candidates].sort((a, b) => (a.id < b.id ? -1 : 1));
    const target = sorted[this.#next % sorted.length];
    this.#next += 1;
    return target;
  }

  /** Does nothing. */
  onPlaced(): void {}

  /** Does nothing. */
  forget(): void {}
}

/** Picks the target with the fewest in-flight requests. */
export class LeastConnectionsPicker implements Picker {
  /** Picks the least loaded target; the first of equals. */
  pick(input: PickInput): Target | undefined {
    let best: Target | undefined;
    for (const target of input.candidates) {
      if (best === undefined || target.inFlight < best.inFlight) best = target;
    }
    return best;
  }

  /** Does nothing. */
  onPlaced(): void {}

  /** Does nothing. */
  forget(): void {}
}

/** Concurrency window that never limits a target. */
const UNLIMITED_WINDOW: AdaptiveWindowOptions = {
  initial: 100_000,
  min: 100_000,
  max: 100_000,
};

const product: Policy = {
  name: "nutmegreel",
  createPicker: (seed) => new ExpectedTimePicker(xoroshiro128plus(seed)),
  hedges: true,
  isFair: true,
  usesDeadlines: true,
  reportsProgress: true,
  usesSpotZones: true,
};

const baseline: Omit<Policy, "name" | "createPicker"> = {
  window: UNLIMITED_WINDOW,
  hedges: false,
  isFair: false,
  usesDeadlines: false,
  reportsProgress: false,
  usesSpotZones: true,
};

/** All policies, by name. */
export const POLICIES = {
  product,
  roundRobin: {
    ...baseline,
    name: "round robin",
    createPicker: () => new RoundRobinPicker(),
  },
  leastConnections: {
    ...baseline,
    name: "least connections",
    createPicker: () => new LeastConnectionsPicker(),
  },
  noHedging: { ...product, name: "no hedging", hedges: false },
  lastingOnly: {
    ...product,
    name: "lasting zones only",
    usesSpotZones: false,
  },
} as const satisfies Readonly<Record<string, Policy>>;

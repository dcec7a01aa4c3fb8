/** The policies that are compared: the product's, and plain baselines. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { AdaptiveWindowOptions } from "../src/core/limits/mod.ts";
import {
  ExpectedTimePicker,
  type Picker,
  type PickQuestion,
  type Target,
} from "../src/core/routing/mod.ts";

/** A policy. */
export interface Policy {
  /** Name. */
  readonly name: string;
  /** Creates the choice among targets. */
  readonly createPicker: (seed: number) => Picker;
  /** Windows of targets; the product's where absent. */
  readonly window?: AdaptiveWindowOptions;
  /** Whether stragglers are hedged. */
  readonly hedges: boolean;
  /** Whether workspaces are served by weight; in order of arrival if not. */
  readonly isFair: boolean;
  /** Whether requests without hope are refused early. */
  readonly refusesEarly: boolean;
  /** Whether the progress of streams is taken in. */
  readonly seesProgress: boolean;
  /** Whether cheap zones are used. */
  readonly usesCheapZones: boolean;
}

/** Takes targets in turn. */
export class RoundRobinPicker implements Picker {
  #next = 0;

  /** Gets the next target. */
  pick(question: PickQuestion): Target | undefined {
    const { candidates } = question;
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

/** Takes the target with the fewest requests in flight. */
export class LeastConnectionsPicker implements Picker {
  /** Gets the least loaded target. */
  pick(question: PickQuestion): Target | undefined {
    let best: Target | undefined;
    for (const target of question.candidates) {
      if (best === undefined || target.inFlight < best.inFlight) best = target;
    }
    return best;
  }

  /** Does nothing. */
  onPlaced(): void {}

  /** Does nothing. */
  forget(): void {}
}

/** A window that never holds anything back. */
const OPEN_WINDOW: AdaptiveWindowOptions = {
  initial: 100_000,
  min: 100_000,
  max: 100_000,
};

const product: Policy = {
  name: "nutmegreel",
  createPicker: (seed) => new ExpectedTimePicker(xoroshiro128plus(seed)),
  hedges: true,
  isFair: true,
  refusesEarly: true,
  seesProgress: true,
  usesCheapZones: true,
};

const plain: Omit<Policy, "name" | "createPicker"> = {
  window: OPEN_WINDOW,
  hedges: false,
  isFair: false,
  refusesEarly: false,
  seesProgress: false,
  usesCheapZones: true,
};

/** All policies, by name. */
export const POLICIES = {
  product,
  roundRobin: {
    ...plain,
    name: "round robin",
    createPicker: () => new RoundRobinPicker(),
  },
  leastConnections: {
    ...plain,
    name: "least connections",
    createPicker: () => new LeastConnectionsPicker(),
  },
  noHedging: { ...product, name: "no hedging", hedges: false },
  lastingOnly: {
    ...product,
    name: "lasting zones only",
    usesCheapZones: false,
  },
} as const satisfies Readonly<Record<string, Policy>>;

/** Reproducible randomised runs by kind and seed. */
import type { ConsensusGuards } from "../src/core/consensus/mod.ts";
import type { LedgerGuards } from "../src/core/ledger/mod.ts";
import type { OrderGuards } from "../src/core/orders/mod.ts";
import { ControlSimulation } from "./control_simulation.ts";
import { LedgerSimulation } from "./ledger_simulation.ts";
import { type OutputGuards, runOutputSchedules } from "./output_simulation.ts";
import {
  drawFaults,
  FaultKind,
  type RunResult,
  type ScheduledFault,
} from "./schedule.ts";

/** Safety checks to disable, which shows that a run detects their absence. */
export interface DisabledGuards {
  /** Checks of the consensus protocol. */
  readonly consensus?: Partial<ConsensusGuards>;
  /** Checks of the order sender. */
  readonly orders?: Partial<OrderGuards>;
  /** Checks of the ledger. */
  readonly ledger?: Partial<LedgerGuards>;
  /** Parts of the rule by which outputs are continued. */
  readonly outputs?: Partial<OutputGuards>;
}

/** Kinds of runs. */
export const RunKind = {
  Control: "control",
  Ledger: "ledger",
  /** Outputs while targets change their software. */
  Outputs: "outputs",
} as const;

/** One of the values of {@link RunKind}. */
export type RunKind = typeof RunKind[keyof typeof RunKind];

/** Options of {@link runOnce}. */
export interface RunOptions {
  /** Seed of the faults and of all random draws. */
  readonly seed: number;
  /** Duration, in virtual milliseconds; 60,000 where absent. */
  readonly lengthMs?: number;
  /** Faults to inject; drawn from the seed where absent. */
  readonly faults?: readonly ScheduledFault[];
  /** Checks to disable; a value of false disables a check. */
  readonly disabledGuards?: DisabledGuards;
}

const DEFAULT_LENGTH_MS = 60_000;
const MEAN_FAULT_INTERVAL_MS = 2_500;
const FAULT_KINDS = Object.values(FaultKind);

/** Gets the given faults, or draws them from the seed. */
export function getFaults(options: RunOptions): readonly ScheduledFault[] {
  return options.faults ?? drawFaults(options.seed, {
    lengthMs: options.lengthMs ?? DEFAULT_LENGTH_MS,
    meanIntervalMs: MEAN_FAULT_INTERVAL_MS,
    kinds: FAULT_KINDS,
  });
}

/** Performs a run; equal options give equal results. */
export function runOnce(kind: RunKind, options: RunOptions): RunResult {
  const { seed, lengthMs = DEFAULT_LENGTH_MS, disabledGuards } = options;
  if (kind === RunKind.Outputs) {
    return runOutputSchedules({ seed, guards: disabledGuards?.outputs });
  }
  const size = seed % 3 === 0 ? 5 : 3;
  const common = {
    seed,
    size,
    lengthMs,
    faults: getFaults(options),
  };
  if (kind === RunKind.Ledger) {
    return new LedgerSimulation({ ...common, guards: disabledGuards?.ledger })
      .run();
  }
  return new ControlSimulation({
    ...common,
    guards: disabledGuards?.consensus,
    orderGuards: disabledGuards?.orders,
  }).run();
}

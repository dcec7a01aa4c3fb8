/** The kinds of randomised runs and how one is made from its seed. */
import type { ConsensusGuards } from "../src/core/consensus/mod.ts";
import type { LedgerGuards } from "../src/core/ledger/mod.ts";
import type { OrderGuards } from "../src/core/orders/mod.ts";
import { ControlWorld } from "./control_world.ts";
import { LedgerWorld } from "./ledger_world.ts";
import {
  drawFaults,
  FaultKind,
  type RunResult,
  type ScheduledFault,
} from "./schedule.ts";

/** Checks taken out of a run, to show that it misses them. */
export interface RemovedGuards {
  /** Checks of the control log. */
  readonly consensus?: Partial<ConsensusGuards>;
  /** Checks of orders. */
  readonly orders?: Partial<OrderGuards>;
  /** Checks of the ledger. */
  readonly ledger?: Partial<LedgerGuards>;
}

/** Kinds of runs. */
export const RunKind = { Control: "control", Ledger: "ledger" } as const;

/** One of the values of {@link RunKind}. */
export type RunKind = typeof RunKind[keyof typeof RunKind];

/** Options of {@link runOnce}. */
export interface RunOptions {
  /** Seed. */
  readonly seed: number;
  /** Length, in virtual milliseconds. */
  readonly lengthMs?: number;
  /** Faults; drawn from the seed where absent. */
  readonly faults?: readonly ScheduledFault[];
  /** Checks taken out. */
  readonly removed?: RemovedGuards;
}

const DEFAULT_LENGTH_MS = 60_000;
const MEAN_GAP_MS = 2_500;
const ALL_KINDS = Object.values(FaultKind);

/** Gets the faults that a seed draws. */
export function faultsOf(options: RunOptions): readonly ScheduledFault[] {
  return options.faults ?? drawFaults(options.seed, {
    lengthMs: options.lengthMs ?? DEFAULT_LENGTH_MS,
    meanGapMs: MEAN_GAP_MS,
    kinds: ALL_KINDS,
  });
}

/** Makes one run; the same options give the same result. */
export function runOnce(kind: RunKind, options: RunOptions): RunResult {
  const { seed, lengthMs = DEFAULT_LENGTH_MS, removed } = options;
  const size = seed % 3 === 0 ? 5 : 3;
  const common = { seed, size, lengthMs, faults: faultsOf(options) };
  if (kind === RunKind.Ledger) {
    return new LedgerWorld({ ...common, guards: removed?.ledger }).run();
  }
  return new ControlWorld({
    ...common,
    guards: removed?.consensus,
    orderGuards: removed?.orders,
  }).run();
}

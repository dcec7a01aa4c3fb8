/** One simulated run: virtual time, network, faults and the first violation. */
import { Scheduler } from "../sim/scheduler.ts";
import {
  countFault,
  type FaultCounts,
  type MessageFaults,
  Network,
} from "./network.ts";
import type { RunResult, ScheduledFault } from "./schedule.ts";

/** Schedules the end of a fault. */
export type Heal = (run: () => void) => void;

/** Options of {@link SimulatedRun}. */
export interface SimulatedRunOptions {
  /** Seed of all random draws. */
  readonly seed: number;
  /** Maximum delay of a message, in milliseconds. */
  readonly maxDelayMs: number;
}

/** What happens in a run. */
export interface RunPlan {
  /** Faults to inject. */
  readonly faults: readonly ScheduledFault[];
  readonly inject: (fault: ScheduledFault, heal: Heal) => void;
  /** Functions that are repeated at random intervals, with their means. */
  readonly repeated: readonly (readonly [number, () => void])[];
  /** Duration, in virtual milliseconds. */
  readonly lengthMs: number;
}

const MESSAGE_FAULTS: Omit<MessageFaults, "maxDelayMs"> = {
  loss: 0.02,
  duplication: 0.02,
};

/** Runs a plan until its end or the first violation of an invariant. */
export class SimulatedRun {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly #faultCounts: FaultCounts = new Map();
  #violation: string | undefined;

  /** Creates a run at time 0. */
  constructor({ seed, maxDelayMs }: SimulatedRunOptions) {
    this.scheduler = new Scheduler(seed);
    this.network = new Network(this.scheduler, {
      faults: { ...MESSAGE_FAULTS, maxDelayMs },
      counts: this.#faultCounts,
    });
  }

  /** Records a violation; only the first one counts. */
  report(text: string): this {
    this.#violation ??= `${Math.round(this.scheduler.now)} ms: ${text}`;
    return this;
  }

  /** Increments the number of faults of a kind. */
  countFault(kind: string): this {
    countFault(this.#faultCounts, kind);
    return this;
  }

  /** Runs a plan. */
  run(plan: RunPlan): Omit<RunResult, "work"> {
    const { scheduler } = this;
    for (const fault of plan.faults) {
      scheduler.after(fault.at, () => {
        this.countFault(fault.kind);
        plan.inject(fault, (run) => scheduler.after(fault.forMs, run));
      });
    }
    for (const [meanIntervalMs, run] of plan.repeated) {
      scheduler.repeatWithJitter(meanIntervalMs, run);
    }
    scheduler.runWhile(() => this.#violation === undefined, plan.lengthMs);
    return {
      violation: this.#violation,
      steps: scheduler.steps,
      faults: this.#faultCounts,
    };
  }

  /** Partitions a process from others until the fault ends. */
  isolate(
    victim: string,
    others: readonly string[],
    options: { readonly isBoth: boolean; readonly heal: Heal },
  ): this {
    const ids = others.filter((id) => id !== victim);
    options.heal(this.network.isolate(victim, ids, options));
    return this;
  }
}

/** Schedules of faults, which are drawn from a seed before a run. */
import { Scheduler } from "../sim/scheduler.ts";

/** Kinds of scheduled faults. */
export const FaultKind = {
  Crash: "crash",
  Pause: "pause",
  Partition: "partition",
  AsymmetricPartition: "asymmetricPartition",
  DiskLoss: "diskLoss",
  /** A second disk is lost right after the first one was replaced. */
  SecondDiskLoss: "secondDiskLoss",
  /** A voter crashes after an election, and the new leader is isolated. */
  ElectionCrash: "electionCrash",
  /** Leadership is transferred to another process without a failure. */
  Handover: "handover",
  /** All processes crash and restart. */
  RestartAll: "restartAll",
} as const;

/** One of the values of {@link FaultKind}. */
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

/** A fault at a fixed time of a run. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  /** Start, in virtual milliseconds. */
  readonly at: number;
  /** Duration, in virtual milliseconds. */
  readonly forMs: number;
  /** Random number from 0 to 1 that selects the affected process. */
  readonly pick: number;
}

/** Options of {@link drawFaults}. */
export interface DrawFaultsOptions {
  /** Duration of the run, in virtual milliseconds. */
  readonly lengthMs: number;
  /** Mean interval between faults, in virtual milliseconds. */
  readonly meanIntervalMs: number;
  /** Kinds to draw from. */
  readonly kinds: readonly FaultKind[];
}

/** Draws faults at exponentially distributed intervals, the first at 3 s. */
export function drawFaults(
  seed: number,
  options: DrawFaultsOptions,
): ScheduledFault[] {
  const random = new Scheduler(seed ^ 0x5eed);
  const faults: ScheduledFault[] = [];
  let at = 3_000;
  while (at < options.lengthMs) {
    faults.push({
      kind: random.pick(options.kinds),
      at: Math.round(at),
      forMs: Math.round(random.between(200, 12_000)),
      pick: random.random(),
    });
    at += -Math.log(1 - random.random()) * options.meanIntervalMs;
  }
  return faults;
}

/** Result of one run. */
export interface RunResult {
  /** First violation of an invariant; undefined where there was none. */
  readonly violation: string | undefined;
  /** Number of scheduled events. */
  readonly steps: number;
  /** Numbers of injected faults by kind. */
  readonly faults: ReadonlyMap<string, number>;
  /** Counts of the work done, which show that a run was not idle. */
  readonly work: Readonly<Record<string, number>>;
}

/**
 * Shrinks a failing schedule by dropping faults that the violation does not
 * need, within a number of trials.
 * @returns The remaining faults, with which the run still fails.
 */
export function shrink(
  faults: readonly ScheduledFault[],
  options: {
    run: (faults: readonly ScheduledFault[]) => RunResult;
    maxTrials: number;
  },
): readonly ScheduledFault[] {
  let remaining = faults;
  let trialCount = 0;
  for (let chunkSize = Math.ceil(remaining.length / 2); chunkSize >= 1;) {
    let hasDropped = false;
    for (let i = 0; i < remaining.length && trialCount < options.maxTrials;) {
      const fewer = [
        ...remaining.slice(0, i),
        ...remaining.slice(i + chunkSize),
      ];
      trialCount += 1;
      if (options.run(fewer).violation === undefined) i += chunkSize;
      else {
        remaining = fewer;
        hasDropped = true;
      }
    }
    if (trialCount >= options.maxTrials) break;
    if (chunkSize === 1 && !hasDropped) break;
    chunkSize = chunkSize === 1 ? 1 : Math.ceil(chunkSize / 2);
  }
  return remaining;
}

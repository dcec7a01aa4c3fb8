/** The faults of a run, drawn from its seed before it begins. */
import { Scheduler } from "../sim/scheduler.ts";

/** Kinds of scheduled faults. */
export const FaultKind = {
  Crash: "crash",
  Pause: "pause",
  Partition: "partition",
  AsymmetricPartition: "asymmetricPartition",
  DiskLoss: "diskLoss",
  /** A disk is lost right after another one was repaired. */
  SecondDiskLoss: "secondDiskLoss",
  /** A voter crashes right after an election, its leader is cut off. */
  ElectionCrash: "electionCrash",
  /** Leadership is handed over on purpose. */
  Handover: "handover",
  /** All processes stop and start again. */
  RestartAll: "restartAll",
} as const;

/** One of the values of {@link FaultKind}. */
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

/** A fault of a run. */
export interface ScheduledFault {
  /** Kind. */
  readonly kind: FaultKind;
  /** Begin, in virtual milliseconds. */
  readonly at: number;
  /** Length, in virtual milliseconds. */
  readonly forMs: number;
  /** Random number that picks whom it hits. */
  readonly pick: number;
}

/** Options of {@link drawFaults}. */
export interface DrawOptions {
  /** Length of the run, in virtual milliseconds. */
  readonly lengthMs: number;
  /** Mean time between two faults, in virtual milliseconds. */
  readonly meanGapMs: number;
  /** Kinds that may occur. */
  readonly kinds: readonly FaultKind[];
}

/** Draws the faults of a run. */
export function drawFaults(
  seed: number,
  options: DrawOptions,
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
    at += -Math.log(1 - random.random()) * options.meanGapMs;
  }
  return faults;
}

/** Result of one run. */
export interface RunResult {
  /** What broke; undefined where nothing did. */
  readonly violation: string | undefined;
  /** Events run. */
  readonly steps: number;
  /** Faults injected, by kind. */
  readonly faults: ReadonlyMap<string, number>;
  /** Figures that show that the run did work. */
  readonly work: Readonly<Record<string, number>>;
}

/**
 * Shortens a failing schedule: drops every fault without which the run still
 * breaks, within a number of trials.
 */
export function shorten(
  faults: readonly ScheduledFault[],
  options: {
    run: (faults: readonly ScheduledFault[]) => RunResult;
    maxTrials: number;
  },
): readonly ScheduledFault[] {
  let kept = faults;
  let trials = 0;
  for (let size = Math.ceil(kept.length / 2); size >= 1;) {
    let hasDropped = false;
    for (let i = 0; i < kept.length && trials < options.maxTrials;) {
      const fewer = [...kept.slice(0, i), ...kept.slice(i + size)];
      trials += 1;
      if (options.run(fewer).violation === undefined) i += size;
      else {
        kept = fewer;
        hasDropped = true;
      }
    }
    if (trials >= options.maxTrials) break;
    if (size === 1 && !hasDropped) break;
    size = size === 1 ? 1 : Math.ceil(size / 2);
  }
  return kept;
}

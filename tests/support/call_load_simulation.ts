/**
 * Simulates, in virtual time, many instances that send calls to a few targets.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { quantileSorted, sampleCorrelation } from "simple-statistics";
import TinyQueue from "tinyqueue";
import { LatencyTracker } from "../../src/core/calls/mod.ts";

/** A target of the simulation. */
export interface SimulatedTarget {
  readonly slots: number;
  /** Duration of a call relative to the mean. */
  readonly pace: number;
  /** Whether it fails each call almost at once. */
  readonly isFailing?: boolean;
}

/** What a chooser sees when a call arrives. */
export interface ChooserView {
  readonly tracker: LatencyTracker;
  readonly now: number;
  /** Calls at each target, as last reported. */
  readonly reported: readonly number[];
  /** Calls at each target now, which no real chooser sees. */
  readonly actual: readonly number[];
  readonly random: () => number;
  /** Targets at which the call has failed. */
  readonly tried: ReadonlySet<string>;
}

/** Gets the index of the target of a call. */
export type Chooser = (view: ChooserView) => number;

/** Options of {@link simulateCallLoad}. */
export interface CallLoadOptions {
  readonly targets: readonly SimulatedTarget[];
  readonly choosers: number;
  readonly choose: Chooser;
  /** Time after which a chooser learns of a call's end or a target's load. */
  readonly ageMs: number;
  /** Share of the targets' capacity that is in demand. */
  readonly demand: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Time at which half of the choosers are replaced by new ones. */
  readonly renewAtMs?: number;
}

/** Results of {@link simulateCallLoad}. */
export interface CallLoadFigures {
  /** Share of the calls that found all slots of their target in use. */
  readonly excess: number;
  /** Slots idle while calls queue elsewhere, as a share of all slots. */
  readonly idle: number;
  /** Wait for a slot at the 99th percentile, in milliseconds. */
  readonly waitMs: number;
  /** Lowest autocorrelation of a target's share of the load, over lags to 2 s. */
  readonly swing: number;
  /** Share of the calls that each target got. */
  readonly shares: readonly number[];
}

/** Mean duration of a call at a target of pace 1. */
const MEAN_MS = 120;
const FAILURE_MS = 2;
const SAMPLE_MS = 50;
const MAX_LAG_SAMPLES = 40;

interface SimulatedCall {
  readonly since: number;
  readonly tried: ReadonlySet<string>;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Simulates a load; equal options give equal figures. */
export function simulateCallLoad(options: CallLoadOptions): CallLoadFigures {
  const { targets, ageMs, durationMs } = options;
  const generator = xoroshiro128plus(options.seed);
  const random = () => uniformFloat64(generator);
  const events = new TinyQueue<Event>([], (a, b) => a.at - b.at);
  const trackers = Array.from(
    { length: options.choosers },
    () => new LatencyTracker(),
  );
  const actual = targets.map(() => 0);
  const queues = targets.map((): (() => void)[] => []);
  const counts = targets.map(() => 0);
  const loads = targets.map((): number[] => []);
  const waits: number[] = [];
  let reported = [...actual];
  let now = 0;
  let excess = 0;
  let idle = 0;
  const at = (time: number, run: () => void) => events.push({ at: time, run });

  const ratePerMs = options.demand * targets
    .filter(({ isFailing }) => !isFailing)
    .reduce((sum, { slots, pace }) => sum + slots / (pace * MEAN_MS), 0);

  function arrive(): void {
    at(now - Math.log(1 - random()) / ratePerMs, arrive);
    const tracker = trackers[Math.floor(random() * trackers.length)];
    send(tracker, { since: now, tried: new Set() });
  }

  function send(tracker: LatencyTracker, call: SimulatedCall): void {
    const { since, tried } = call;
    const view = { tracker, now, actual, random, tried };
    const i = options.choose({
      ...view,
      reported: ageMs === 0 ? actual : reported,
    });
    const { slots, pace, isFailing = false } = targets[i];
    const sentAt = now;
    tracker.onSent(String(i));
    counts[i] += 1;
    if (isFailing) {
      at(now + FAILURE_MS, () => {
        const latencyMs = FAILURE_MS;
        tracker.onEnded(String(i), { latencyMs, isFailure: true, now });
        send(tracker, { since, tried: new Set([...tried, String(i)]) });
      });
      return;
    }
    const start = () => {
      waits.push(now - since);
      at(now - Math.log(1 - random()) * pace * MEAN_MS, () => {
        actual[i] -= 1;
        queues[i].shift()?.();
        const latencyMs = now - sentAt;
        at(
          now + ageMs,
          () =>
            tracker.onEnded(String(i), { latencyMs, isFailure: false, now }),
        );
      });
    };
    actual[i] += 1;
    if (actual[i] <= slots) return start();
    excess += 1;
    queues[i].push(start);
  }

  function sample(): void {
    at(now + SAMPLE_MS, sample);
    const mean = targets.reduce((s, t, i) => s + actual[i] / t.slots, 0) /
      targets.length;
    let free = 0;
    let queued = 0;
    targets.forEach(({ slots, isFailing }, i) => {
      loads[i].push(actual[i] / slots - mean);
      if (isFailing !== true) free += Math.max(0, slots - actual[i]);
      queued += queues[i].length;
    });
    idle += Math.min(free, queued);
  }

  function report(): void {
    at(now + ageMs, report);
    reported = [...actual];
  }

  arrive();
  sample();
  if (ageMs > 0) report();
  if (options.renewAtMs !== undefined) {
    at(options.renewAtMs, () => {
      for (let i = 0; i < trackers.length; i += 2) {
        trackers[i] = new LatencyTracker();
      }
    });
  }
  while (true) {
    const event = events.pop()!;
    if (event.at > durationMs) break;
    now = event.at;
    event.run();
  }
  const samples = loads[0].length;
  const slots = targets.reduce((sum, target) => sum + target.slots, 0);
  const calls = counts.reduce((sum, count) => sum + count, 0);
  return {
    excess: excess / calls,
    idle: idle / samples / slots,
    waitMs: quantileSorted(waits.sort((a, b) => a - b), 0.99),
    swing: Math.min(...loads.map(lowestAutocorrelation)),
    shares: counts.map((count) => count / calls),
  };
}

function lowestAutocorrelation(series: readonly number[]): number {
  let lowest = 1;
  for (let lag = 1; lag <= MAX_LAG_SAMPLES; lag += 1) {
    const value = sampleCorrelation(series.slice(lag), series.slice(0, -lag));
    if (value < lowest) lowest = value;
  }
  return lowest;
}

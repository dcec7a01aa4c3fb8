import { describe, expect, it } from "vitest";
import {
  type CallLoadFigures,
  type CallLoadOptions,
  type Chooser,
  type ChooserView,
  simulateCallLoad,
  type SimulatedTarget,
} from "../../../tests/support/call_load_simulation.ts";
import { type MeasuredTarget, rankSpread, rankTargets } from "./mod.ts";

const UNEVEN: readonly SimulatedTarget[] = [0.7, 0.7, 1, 1.7]
  .map((pace) => ({ pace, slots: 6 }));
const [EQUAL_1, EQUAL_2, EQUAL_3] = Array.from(
  { length: 3 },
  () => ({ pace: 1, slots: 6 }),
);

function statesOf(
  { tracker, now }: ChooserView,
  isSpread: boolean,
): MeasuredTarget[] {
  return UNEVEN.map((_, i) => ({
    id: String(i),
    dataCentre: "a",
    inFlight: tracker.inFlight(String(i)),
    latencyMs: tracker.latencyMs(String(i)),
    measuredMs: tracker.measuredMs(String(i)),
    isSuspect: isSpread
      ? tracker.isFailing(String(i), now)
      : tracker.isSuspect(String(i), now),
    isLimited: false,
    isScarce: false,
  }));
}

function indexOfLeast(costs: readonly number[]): number {
  return costs.indexOf(Math.min(...costs));
}

/** Policies, of which only the first two are available to an instance. */
const CHOOSERS = {
  spread: (view) => {
    const targets = statesOf(view, true);
    const { tried, random } = view;
    const input = { targets, dataCentre: "a", tried, random };
    return Number(rankSpread(input).targets[0].id);
  },
  latency: (view) => {
    const targets = statesOf(view, false);
    const input = { targets, dataCentre: "a", tried: view.tried };
    return Number(rankTargets(input)[0].id);
  },
  random: ({ random }) => Math.floor(random() * UNEVEN.length),
  lastReport: ({ reported }) => indexOfLeast(reported),
  perfect: ({ actual }) =>
    indexOfLeast(actual.map((load, i) => {
      const { slots, pace } = UNEVEN[i];
      return pace * Math.max(1, (load + 1) / slots) + load * 1e-6;
    })),
} satisfies Record<string, Chooser>;

function simulate(
  chooser: keyof typeof CHOOSERS,
  options: Partial<CallLoadOptions>,
): CallLoadFigures {
  return simulateCallLoad({
    targets: UNEVEN,
    choosers: 67,
    choose: CHOOSERS[chooser],
    ageMs: 500,
    demand: 0.95,
    durationMs: 120_000,
    seed: 7,
    ...options,
  });
}

describe(rankSpread.name, () => {
  for (const choosers of [7, 67, 300]) {
    for (const ageMs of [0, 500]) {
      it(`reports the load of ${choosers} choosers, ${ageMs} ms old`, () => {
        const names = Object.keys(CHOOSERS) as (keyof typeof CHOOSERS)[];
        const results = new Map(
          names.map((name) => [name, simulate(name, { choosers, ageMs })]),
        );
        const rows = [...results].map(([name, figures]) => {
          const { excess, idle, waitMs, swing } = figures;
          return [name, excess, idle, waitMs, swing].map((value) =>
            typeof value === "number" ? Number(value.toPrecision(3)) : value
          );
        });
        console.info(rows.map((row) => `| ${row.join(" | ")} |`).join("\n"));
        const spread = results.get("spread")!;
        expect(spread.waitMs).toBeLessThan(2_000);
        expect(spread.idle).toBeLessThan(0.1);
      });
    }
  }

  function doTest(
    options: Partial<CallLoadOptions>,
    check: (spread: CallLoadFigures, latency: CallLoadFigures) => void,
  ) {
    for (const seed of [7, 11, 13]) {
      check(
        simulate("spread", { ...options, seed }),
        simulate("latency", { ...options, seed }),
      );
    }
  }

  it("keeps the wait bounded where a chooser rarely measures a target", () =>
    doTest({ choosers: 300 }, (spread, latency) => {
      expect(spread.waitMs).toBeLessThan(latency.waitMs / 2);
    }));

  it("finds a target that is ten times slower and sends it little", () =>
    doTest({
      targets: [EQUAL_1, EQUAL_2, EQUAL_3, { pace: 10, slots: 6 }],
      demand: 0.7,
    }, ({ shares, waitMs }) => {
      expect(shares[3]).toBeLessThan(0.02);
      expect(waitMs).toBeLessThan(1_000);
    }));

  it("does not take a target that fails fast for an idle one", () =>
    doTest({
      targets: [EQUAL_1, EQUAL_2, EQUAL_3, {
        pace: 1,
        slots: 6,
        isFailing: true,
      }],
      demand: 0.7,
    }, (spread, latency) => {
      expect(spread.shares[3]).toBeLessThan(0.06);
      expect(spread.shares[3]).toBeLessThan(latency.shares[3] / 2);
    }));

  it("keeps the load even when half of the choosers are new", () =>
    doTest({ renewAtMs: 60_000 }, (spread) => {
      expect(spread.idle).toBeLessThan(0.12);
      expect(spread.waitMs).toBeLessThan(2_000);
    }));
});

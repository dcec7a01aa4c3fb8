import { describe, expect, it } from "vitest";
import {
  type SlowStartFaults,
  type SlowStartResult,
  SlowStartSimulation,
} from "../../../tests/support/slow_start_simulation.ts";
import { toleratedPerSecond } from "../../core/limits/mod.ts";

const SCHEDULES = 5_000;
/** Schedules among which each fault shows. */
const FAULT_SCHEDULES = 2_000;
const WINDOW_MS = 1_000;
/** Requests that a cold target gets at least, of those that it tolerates. */
const MIN_USE = 0.75;

/** Gets the most requests that arrived in any span of one second. */
function mostPerSecond(arrivals: readonly number[]): number {
  let first = 0;
  let most = 0;
  for (const [i, at] of arrivals.entries()) {
    while (arrivals[first] <= at - WINDOW_MS) first += 1;
    most = Math.max(most, i - first + 1);
  }
  return most;
}

function isWithinBound({ arrivals, requestsPerS }: SlowStartResult): boolean {
  return mostPerSecond(arrivals) <= toleratedPerSecond(requestsPerS);
}

describe("the requests of all instances to a cold target", () => {
  async function play() {
    const results: SlowStartResult[] = [];
    for (let seed = 1; seed <= SCHEDULES; seed += 1) {
      results.push(await new SlowStartSimulation(seed).run());
    }
    return results;
  }

  it(
    "stay within the bound whatever is cut, late or repeated, and use it",
    async () => {
      const results = await play();
      const broken = results
        .flatMap((result, i) => isWithinBound(result) ? [] : [i + 1]);
      expect(broken).toEqual([]);
      const undisturbed = results.filter((result) => result.isUndisturbed);
      const sent = undisturbed
        .reduce((sum, { arrivals }) => sum + arrivals.length, 0);
      const offered = undisturbed.reduce(
        (sum, { requestsPerS, coldMs }) => sum + requestsPerS * coldMs / 1_000,
        0,
      );
      expect(sent / offered).toBeGreaterThan(MIN_USE);
    },
    60_000,
  );

  async function doFaultTest(faults: SlowStartFaults) {
    for (let seed = 1; seed <= FAULT_SCHEDULES; seed += 1) {
      const result = await new SlowStartSimulation(seed, faults).run();
      if (!isWithinBound(result)) return;
    }
    expect.unreachable("The bound holds in spite of the fault");
  }

  it("exceed it if cut instances do not know of each other", () =>
    doFaultTest({ knowsNoSenders: true }));

  it("exceed it if a deposed leader grants permits", () =>
    doFaultTest({ ignoresLease: true }));

  it("exceed it if a cut instance does not wait for news", () =>
    doFaultTest({ ignoresCut: true }));

  it("exceed it if a late report is taken for a new one", () =>
    doFaultTest({ ignoresSequence: true }));
});

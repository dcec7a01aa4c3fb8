import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { Suspicion } from "./quarantine.ts";
import { type TargetReport, TargetState } from "../registry/mod.ts";
import { countTargets, ranBeside, TrialLimiter } from "./trial_limiter.ts";

describe(TrialLimiter.name, () => {
  function doTest(
    deaths: number,
    counts: { healthy: number; known: number },
    expected: boolean,
  ) {
    const request = { fingerprint: "f", service: "s", deaths };
    const { isGranted, retryAfterMs } = new TrialLimiter()
      .take(request, counts, 0);
    expect(isGranted).toBe(expected);
    expect(retryAfterMs > 0).toBe(!expected);
  }

  it("grants a trial that leaves a target whatever happens", () =>
    doTest(1, { healthy: 2, known: 3 }, true));

  it("grants none at the last healthy target of several", () =>
    doTest(1, { healthy: 1, known: 2 }, false));

  it("asks for one more target after each death", () => {
    doTest(2, { healthy: 2, known: 3 }, false);
    doTest(2, { healthy: 3, known: 3 }, true);
  });

  it("asks for all targets of a service that has few", () => {
    doTest(2, { healthy: 2, known: 2 }, true);
    doTest(1, { healthy: 1, known: 1 }, true);
    doTest(1, { healthy: 0, known: 1 }, false);
    doTest(1, { healthy: 0, known: 0 }, false);
  });

  it("tries as many requests at a time as leave a target", () => {
    const limiter = new TrialLimiter();
    const counts = { healthy: 2, known: 3 };
    const first = { fingerprint: "f", service: "s", deaths: 1 };
    const second = { ...first, fingerprint: "g" };
    expect(limiter.take(first, counts, 0).isGranted).toBe(true);
    expect(limiter.take(second, counts, 1).isGranted).toBe(false);
    const elsewhere = { ...second, service: "other" };
    expect(limiter.take(elsewhere, counts, 1).isGranted).toBe(true);
    limiter.end(second);
    expect(limiter.take(second, counts, 1).isGranted).toBe(false);
    limiter.end(first);
    expect(limiter.take(second, counts, 1).isGranted).toBe(true);
    const third = { ...first, fingerprint: "h" };
    expect(limiter.take(third, counts, 1).isGranted).toBe(false);
    expect(limiter.take(third, { healthy: 3, known: 3 }, 1).isGranted).toBe(
      true,
    );
  });

  it("waits for no trial whose end is not reported", () => {
    const limiter = new TrialLimiter();
    const counts = { healthy: 3, known: 3 };
    const first = { fingerprint: "f", service: "s", deaths: 1 };
    limiter.take(first, counts, 0);
    const second = { ...first, fingerprint: "g" };
    expect(limiter.take(second, counts, 1_000).isGranted).toBe(true);
  });
});

describe(ranBeside.name, () => {
  const worse = {
    fingerprint: "g",
    suspicion: Suspicion.Suspect,
    deaths: 2,
    targets: ["t1/1", "t2/1"],
  };

  function doTest(deaths: number, targets: string[], expected: boolean) {
    const request = { fingerprint: "f", deaths, targets };
    const own = { ...request, suspicion: Suspicion.Suspect };
    expect(ranBeside(request, [own, worse])).toBe(expected);
  }

  it("clears a request whose targets ended under a worse one", () =>
    doTest(1, ["t2/1"], true));

  it("clears none with as many deaths, or one of its own", () => {
    doTest(2, ["t1/1", "t2/1"], false);
    doTest(1, ["t3/1"], false);
    doTest(1, [], false);
  });
});

describe(countTargets.name, () => {
  /** Time at which the tests count, on both clocks. */
  const NOW = 20_000;

  function doTest(
    targets: readonly (Partial<TargetReport> & { reportedAt: number })[],
    expected: { healthy: number; known: number },
  ) {
    const counts = countTargets("s", {
      targets: targets.map(({ reportedAt, ...report }) => ({
        report: createReport(report),
        reportedAt,
      })),
      dead: new Set(["dead/1"]),
      reportIntervalMs: 1_000,
      now: NOW,
      wallNow: NOW,
    });
    expect(counts).toEqual(expected);
  }

  it("counts ready targets that report", () => {
    const reportedAt = 19_000;
    const draining = TargetState.Draining;
    doTest([{ reportedAt }], { healthy: 1, known: 1 });
    doTest([{ reportedAt, service: "other" }], { healthy: 0, known: 0 });
    doTest([{ reportedAt, state: draining }], { healthy: 0, known: 0 });
  });

  it("takes a target that ended or no longer reports for known only", () => {
    doTest([{ id: "dead", reportedAt: 19_900 }], { healthy: 0, known: 1 });
    doTest([{ reportedAt: 17_000 }], { healthy: 0, known: 1 });
    doTest([{ reportedAt: 4_000 }], { healthy: 0, known: 0 });
  });

  it("counts a target that has started again once", () =>
    doTest([
      { id: "dead", reportedAt: 17_000 },
      { id: "t2", incarnation: 17_500, reportedAt: 19_900 },
    ], { healthy: 1, known: 1 }));

  it("counts the most targets that served at the same time", () =>
    doTest([
      { id: "dead", reportedAt: 18_000 },
      { id: "t2", incarnation: 5_000, reportedAt: 19_900 },
      { id: "t3", incarnation: 18_500, reportedAt: 19_900 },
    ], { healthy: 2, known: 2 }));
});

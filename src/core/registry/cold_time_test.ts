import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { COLD_MARGIN_MS, reportAt } from "./cold_time.ts";
import { RegistryChange, TargetRegistry } from "./target_registry.ts";
import type { TargetReport } from "./target_report.ts";

const { Changed, Refreshed, None } = RegistryChange;

/** A report, the time at which it arrives and what is expected of it. */
interface Step {
  readonly at: number;
  readonly report: Partial<TargetReport>;
  readonly change: RegistryChange;
  /** Expected end of the cold time, without the margin. */
  readonly end: number | undefined;
}

describe("the cold time of a target", () => {
  function doTest(steps: readonly Step[]) {
    const registry = new TargetRegistry();
    for (const { at, report, change, end } of steps) {
      expect(registry.merge(createReport(report), at)).toBe(change);
      const coldUntil = end === undefined ? undefined : end + COLD_MARGIN_MS;
      expect(registry.get("t1")?.coldUntil).toBe(coldUntil);
    }
    return registry;
  }

  const first = {
    at: 0,
    report: { sequence: 1, coldMs: 3_000 },
    change: Changed,
    end: 3_000,
  };

  it("does not change while reports only count it down", () => {
    doTest([
      first,
      {
        at: 330,
        report: { sequence: 2, coldMs: 2_700 },
        change: Refreshed,
        end: 3_000,
      },
      {
        at: 600,
        report: { sequence: 3, coldMs: 2_390 },
        change: Refreshed,
        end: 3_000,
      },
    ]);
  });

  it("is never shorter than a report says, however slowly it drifts", () => {
    const registry = doTest([first]);
    for (let i = 1; i < 50; i += 1) {
      const now = i * 300;
      registry.merge(createReport({ sequence: i + 1, coldMs: 2_900 }), now);
      expect(registry.get("t1")?.coldUntil).toBeGreaterThanOrEqual(now + 2_900);
    }
  });

  it("is not ended by older, repeated or earlier reports", () => {
    doTest([
      { ...first, report: { incarnation: 2, sequence: 5, coldMs: 3_000 } },
      {
        at: 10,
        report: { incarnation: 1, sequence: 9, coldMs: 0 },
        change: None,
        end: 3_000,
      },
      {
        at: 20,
        report: { incarnation: 2, sequence: 4, coldMs: 0 },
        change: None,
        end: 3_000,
      },
      {
        at: 2_000,
        report: { incarnation: 2, sequence: 5, coldMs: 3_000 },
        change: None,
        end: 3_000,
      },
    ]);
  });

  it("ends with a newer report that says so, or names none any more", () => {
    for (const coldMs of [0, undefined]) {
      const report = { sequence: 2, coldMs };
      doTest([first, { at: 500, report, change: Changed, end: undefined }]);
    }
  });

  it("restarts with an incarnation, and at any later time", () => {
    doTest([
      { ...first, report: { coldMs: 0 }, end: undefined },
      {
        at: 5_000,
        report: { sequence: 2, coldMs: 800 },
        change: Changed,
        end: 5_800,
      },
      {
        at: 9_000,
        report: { incarnation: 2, sequence: 1, coldMs: 3_000 },
        change: Changed,
        end: 12_000,
      },
    ]);
  });

  it("is extended by a response, which a report sent before cannot undo", () => {
    const registry = doTest([
      { ...first, report: { coldMs: 0 }, end: undefined },
    ]);
    expect(registry.extendCold("t1", 1, { coldMs: 2_000, now: 100 }))
      .toBe(true);
    expect(registry.extendCold("t1", 1, { coldMs: 1_900, now: 200 }))
      .toBe(false);
    expect(registry.extendCold("t1", 2, { coldMs: 9_000, now: 200 }))
      .toBe(false);
    registry.merge(createReport({ sequence: 2, coldMs: 0 }), 300);
    expect(registry.get("t1")?.coldUntil).toBe(2_100 + COLD_MARGIN_MS);
    registry.merge(createReport({ sequence: 3, coldMs: 0 }), 1_300);
    expect(registry.get("t1")?.coldUntil).toBeUndefined();
  });

  it("is passed on with what is left of it", () => {
    const registry = doTest([first]);
    const target = registry.get("t1")!;
    const leftAt = (now: number) => reportAt(target, now).coldMs;
    expect([0, 1_000, 3_050, 4_000].map(leftAt)).toEqual([3_000, 2_000, 1, 0]);
  });

  it("is passed on as it is where a target names none", () => {
    const registry = doTest([{
      at: 0,
      report: {},
      change: Changed,
      end: undefined,
    }]);
    expect(reportAt(registry.get("t1")!, 5).coldMs).toBeUndefined();
  });
});

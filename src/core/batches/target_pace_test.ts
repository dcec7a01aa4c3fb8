import { describe, expect, it } from "vitest";
import type { TargetPaceRecord } from "./known_paces.ts";
import { type PacedTarget, TargetPace } from "./target_pace.ts";

function target(id: string, fields: Partial<PacedTarget> = {}): PacedTarget {
  return { id, service: "s", incarnation: 1, ...fields };
}

/** Records events at a constant pace until a time. */
function recordEvents(
  pace: TargetPace,
  at: PacedTarget,
  events: { from: number; to: number; gapMs: number; load?: number },
): TargetPace {
  const { from, to, gapMs, load = 0 } = events;
  for (let now = from; now <= to; now += gapMs) {
    pace.onEventGap(at, { gapMs, load, runs: 1, now });
  }
  return pace;
}

describe(TargetPace.name, () => {
  /** Records 20 events at a constant pace for each target. */
  function record(gaps: Readonly<Record<string, number>>): TargetPace {
    const pace = new TargetPace();
    for (const [id, gapMs] of Object.entries(gaps)) {
      for (let i = 0; i < 20; i += 1) {
        pace.onEventGap(target(id), {
          gapMs,
          load: 0,
          runs: 1,
          now: 1_000 + i,
        });
      }
    }
    return pace;
  }

  function doTest(
    gaps: Readonly<Record<string, number>>,
    now: number,
    expected: readonly string[],
  ) {
    const pace = record(gaps);
    const degraded = Object.keys(gaps).filter((id) =>
      pace.isDegraded(target(id), now)
    );
    expect(degraded).toEqual(expected);
  }

  it("detects a new target that is far slower than the others", () =>
    doTest({ x: 40, y: 45, z: 160 }, 1_100, ["z"]));

  it("detects no degraded target among similar ones", () =>
    doTest({ x: 40, y: 60, z: 70 }, 1_100, []));

  it("detects no degraded target where a part of them is inherently slow", () =>
    doTest({ x: 28, y: 28, z: 68 }, 1_100, []));

  it("expires a pace that is no longer measured", () =>
    doTest({ x: 40, y: 45, z: 160 }, 9_000, []));

  it("detects a target that is far beyond its own pace", () => {
    const [fast, slow] = [target("x"), target("y")];
    const pace = new TargetPace();
    recordEvents(pace, fast, { from: 0, to: 1_000, gapMs: 14 });
    recordEvents(pace, slow, { from: 0, to: 1_000, gapMs: 34 });
    recordEvents(pace, fast, { from: 1_000, to: 4_000, gapMs: 140 });
    expect(pace.isDegraded(fast, 4_000)).toBe(true);
    expect(pace.isDegraded(slow, 1_100)).toBe(false);
    expect(pace.paceMs(fast, 4_000)).toBeGreaterThan(100);
    expect(pace.inherentPaceMs(fast, 4_000)).toBeLessThan(30);
  });

  it("does not compare targets of different services", () => {
    const pace = new TargetPace();
    const slow = target("z", { service: "t" });
    for (const id of ["x", "y"]) {
      recordEvents(pace, target(id), { from: 0, to: 1_000, gapMs: 10 });
    }
    recordEvents(pace, slow, { from: 0, to: 1_000, gapMs: 100 });
    expect(pace.isDegraded(slow, 1_000)).toBe(false);
    expect(pace.inherentPaceMs(target("new"), 1_000)).toBeCloseTo(10);
  });

  it("keeps the long-run pace of a target without events", () => {
    const pace = recordEvents(new TargetPace(), target("x"), {
      from: 0,
      to: 2_000,
      gapMs: 34,
    });
    expect(pace.paceMs(target("x"), 60_000)).toBeCloseTo(34);
  });

  it("starts again with a new incarnation and ignores the earlier one", () => {
    const pace = recordEvents(new TargetPace(), target("x"), {
      from: 0,
      to: 2_000,
      gapMs: 34,
    });
    const restarted = target("x", { incarnation: 2 });
    recordEvents(pace, restarted, { from: 2_000, to: 3_000, gapMs: 14 });
    recordEvents(pace, target("x"), { from: 3_000, to: 3_500, gapMs: 34 });
    expect(pace.paceMs(restarted, 3_500)).toBeCloseTo(14);
  });

  it("holds no target degraded when events of all are delayed alike", () => {
    const pace = new TargetPace();
    const targets = ["x", "y", "z"].map((id) => target(id));
    for (const each of targets) {
      recordEvents(pace, each, { from: 0, to: 1_000, gapMs: 20 });
    }
    for (let i = 0; i < 6; i += 1) {
      for (const each of targets) {
        pace.onEventGap(each, { gapMs: 400, load: 0, runs: 1, now: 1_400 + i });
      }
    }
    expect(targets.filter((each) => pace.isDegraded(each, 1_600))).toEqual([]);
  });

  it("holds no target degraded for one late event, or moves runs for a few", () => {
    const pace = new TargetPace();
    const at = target("x");
    recordEvents(pace, at, { from: 0, to: 1_000, gapMs: 14 });
    const late = { gapMs: 300, load: 0, runs: 8, now: 1_300 };
    pace.onEventGap(at, late);
    expect(pace.isDegraded(at, 1_300)).toBe(false);
    for (let i = 0; i < 7; i += 1) pace.onEventGap(at, late);
    expect(pace.isDegraded(at, 1_300)).toBe(true);
    expect(pace.isPersistentlyDegraded(at, 1_350)).toBe(false);
    recordEvents(pace, at, { from: 1_301, to: 1_600, gapMs: 14 });
    expect(pace.isDegraded(at, 1_600)).toBe(false);
  });

  // Failure: two lost packets of a lone run raise its mean for over 200 ms.
  it("moves no run for late events among others in time", () => {
    const pace = new TargetPace();
    const at = target("x");
    recordEvents(pace, at, { from: 0, to: 1_000, gapMs: 14 });
    for (const now of [1_270, 1_540]) {
      pace.onEventGap(at, { gapMs: 270, load: 0, runs: 1, now });
    }
    expect(pace.isDegraded(at, 1_540)).toBe(true);
    expect(pace.isPersistentlyDegraded(at, 1_540)).toBe(false);
    recordEvents(pace, at, { from: 1_554, to: 1_700, gapMs: 14 });
    recordEvents(pace, at, { from: 2_100, to: 2_700, gapMs: 150 });
    expect(pace.isPersistentlyDegraded(at, 2_700)).toBe(true);
  });

  // Failure: a stall of this process counts as time in which a target was degraded.
  it("requires a degraded target to remain so for the full time after this process stalled", () => {
    const pace = new TargetPace();
    const at = target("x");
    recordEvents(pace, at, { from: 0, to: 1_000, gapMs: 14 });
    recordEvents(pace, at, { from: 1_150, to: 1_600, gapMs: 150 });
    expect(pace.isPersistentlyDegraded(at, 1_900)).toBe(true);
    pace.onStalled(1_900);
    expect(pace.isPersistentlyDegraded(at, 1_950)).toBe(false);
    expect(pace.isPersistentlyDegraded(at, 2_150)).toBe(true);
  });

  describe("with the paces of an earlier leader", () => {
    const saved = (fields: Partial<TargetPaceRecord> = {}) => ({
      ...{ id: "x", service: "s", incarnation: 1, paceMs: 34, ageMs: 1_000 },
      ...fields,
    });

    it("knows them before the first event, with those of others", () => {
      const pace = new TargetPace().load([saved()], 0);
      expect(pace.isPaceKnown(target("x"))).toBe(true);
      expect(pace.paceMs(target("x"), 0)).toBe(34);
      expect(pace.inherentPaceMs(target("y"), 0)).toBe(34);
      expect(pace.save(500)).toEqual([saved({ ageMs: 1_500 })]);
    });

    // Failure: a target that restarted counts as slow as it was before.
    it.each([1, 3])("ignores those of incarnation %i", (incarnation) => {
      const pace = new TargetPace().load([saved({ incarnation })], 0);
      const at = target("x", { incarnation: 2 });
      expect(pace.isPaceKnown(at)).toBe(false);
      recordEvents(pace, at, { from: 0, to: 1_000, gapMs: 14 });
      expect(pace.inherentPaceMs(at, 1_000)).toBeCloseTo(14);
    });

    // Failure: a target that comes back late counts as it was long before.
    it("drops those of targets that do not come for long", () => {
      const pace = new TargetPace().load([saved(), saved({ id: "y" })], 0);
      expect(pace.isPaceKnown(target("y"))).toBe(true);
      pace.save(300_000);
      expect(pace.isPaceKnown(target("x"))).toBe(false);
      expect(pace.isPaceKnown(target("y"))).toBe(true);
    });

    // Failure: a leader that leads again uses what it measured long before.
    it("takes over those that are newer than its own", () => {
      const pace = recordEvents(new TargetPace(), target("x"), {
        from: 0,
        to: 1_000,
        gapMs: 14,
      });
      pace.load([saved({ ageMs: 5_000 })], 2_000);
      expect(pace.paceMs(target("x"), 9_000)).toBeCloseTo(14);
      pace.load([saved({ ageMs: 500 })], 2_000);
      expect(pace.paceMs(target("x"), 9_000)).toBe(34);
    });
  });

  it("awaits events before it counts a degraded target as recovered", () => {
    const pace = new TargetPace();
    const at = target("x");
    recordEvents(pace, at, { from: 0, to: 1_000, gapMs: 20 });
    recordEvents(pace, at, { from: 1_000, to: 3_000, gapMs: 200 });
    expect(pace.isDegraded(at, 10_000)).toBe(false);
    expect(pace.isRecovering(at, 10_000)).toBe(true);
    recordEvents(pace, at, { from: 10_000, to: 10_400, gapMs: 20 });
    expect(pace.isRecovering(at, 10_400)).toBe(false);
  });

  it("adopts a slower pace that lasts", () => {
    const pace = new TargetPace();
    const at = target("x");
    recordEvents(pace, at, { from: 0, to: 1_000, gapMs: 20 });
    recordEvents(pace, at, { from: 1_000, to: 20_000, gapMs: 100 });
    expect(pace.isDegraded(at, 20_000)).toBe(false);
    expect(pace.inherentPaceMs(at, 20_000)).toBeCloseTo(100, 0);
  });

  it("allows for the load at which a pace was seen", () => {
    const pace = new TargetPace();
    recordEvents(pace, target("x"), { from: 0, to: 1_000, gapMs: 24, load: 1 });
    expect(pace.paceMs(target("x"), 1_000)).toBeCloseTo(20);
  });

  it("doubles the backoff with each failure until a run completes", () => {
    const at = target("x");
    const pace = new TargetPace().onFailure(at, 0).onFailure(at, 200);
    expect(pace.isAvoided(at, 500)).toBe(true);
    expect(pace.isAvoided(at, 700)).toBe(false);
    pace.onCompleted(at).onFailure(at, 1_000);
    expect(pace.isAvoided(at, 1_250)).toBe(false);
  });
});

import { describe, expect, it } from "vitest";
import { chooseHedges } from "./hedge_policy.ts";
import type { CompletedSample } from "./sample.ts";
import { StalenessGate } from "./staleness_gate.ts";
import { StepRunner } from "./step_runner.ts";
import type { StepSpec } from "./step_spec.ts";

const STEP: StepSpec = {
  id: "s1",
  workspace: "artis",
  keyId: "artis-1",
  route: "planner",
  model: "planner",
  groups: [{ id: "g", body: { prompt: "p" }, samples: 2 }],
  staleness: { maxVersionsBehind: 1, maxAgeMs: 1_000 },
  deadline: 10_000,
  tokensPerSample: 10,
};

function sampleOf(
  slot: number,
  change: Partial<CompletedSample> = {},
): CompletedSample {
  return {
    slot,
    text: "t",
    finishReason: "stop",
    tokens: 5,
    versions: [3],
    firstTokenAt: 0,
    targetId: "t",
    ...change,
  };
}

function create(spec: Partial<StepSpec> = {}) {
  const gate = new StalenessGate();
  gate.announce(3, 0);
  const runner = new StepRunner({ ...STEP, ...spec }, {
    gate,
    hash: (text) => text,
    maxAttempts: 3,
  });
  return { gate, runner, items: runner.start(0).submit };
}

describe(StepRunner.name, () => {
  it("requires weight versions within the staleness bound", () => {
    expect(create().items.map((item) => item.minVersion)).toEqual([2, 2]);
  });

  it("regenerates a sample without a reported version", () => {
    const { runner, items } = create();
    const effects = runner.onCompleted(
      items[0].id,
      sampleOf(0, { versions: [] }),
      1,
    );
    expect(effects.discarded).toEqual(["unversioned"]);
    expect(effects.submit).toHaveLength(1);
    expect(runner.ready).toBe(0);
  });

  it("regenerates a ready sample made stale by an announcement", () => {
    const { gate, runner, items } = create();
    runner.onCompleted(items[0].id, sampleOf(0, { versions: [2, 3] }), 1);
    expect(runner.peekReady(9, 1)).toHaveLength(1);
    gate.announce(4, 2);
    expect(runner.peekReady(9, 2)).toHaveLength(0);
    const effects = runner.onVersionAnnounced(2);
    expect(effects.discarded).toEqual(["stale"]);
  });

  it("regenerates a ready sample that exceeds the maximum age", () => {
    const { runner, items } = create();
    runner.onCompleted(items[0].id, sampleOf(0), 1);
    expect(runner.tick(900).discarded).toEqual([]);
    expect(runner.tick(1_001).discarded).toEqual(["stale"]);
  });

  it("keeps the first of two samples for a slot", () => {
    const { runner, items } = create();
    runner.onCompleted(items[0].id, sampleOf(0, { text: "first" }), 1);
    const late = runner.onCompleted(
      items[0].id,
      sampleOf(0, { text: "late" }),
      2,
    );
    expect(late.discarded).toEqual(["duplicate"]);
    expect(runner.peekReady(9, 2).map((s) => s.text)).toEqual(["first"]);
  });

  it("refuses to deliver a slot twice", () => {
    const { runner, items } = create();
    runner.onCompleted(items[0].id, sampleOf(0), 1);
    const ready = runner.peekReady(9, 1);
    runner.onDelivered(ready);
    expect(() => runner.onDelivered(ready)).toThrow("sampleOnce");
  });

  it("retries a failed slot and does not run delivered ones", () => {
    const { runner, items } = create();
    expect(runner.onFailed(items[1].id, 1).submit).toHaveLength(1);
    const resumed = new StepRunner(STEP, {
      gate: new StalenessGate(),
      hash: (text) => text,
      maxAttempts: 3,
      delivered: [0],
    });
    expect(resumed.start(0).submit.map((i) => resumed.getSlotOf(i.id)?.index))
      .toEqual([1]);
  });

  it("hedges a straggler on another target and cancels the loser", () => {
    const { runner, items } = create({
      groups: [{ id: "g", body: {}, samples: 10 }],
    });
    items.forEach((item, i) => runner.onPlaced(item.id, `t${i}`, 0));
    for (let i = 0; i < 9; i += 1) {
      runner.onCompleted(items[i].id, sampleOf(i), 100);
    }
    expect(runner.tick(140).submit).toEqual([]);
    const [hedge] = runner.tick(151).submit;
    expect(hedge.avoid).toEqual(["t9"]);
    expect(runner.tick(300).submit).toEqual([]);
    const effects = runner.onCompleted(hedge.id, sampleOf(9), 310);
    expect(effects.cancel).toEqual([items[9].id]);
  });
});

describe(chooseHedges.name, () => {
  it("hedges attempts on the slowest targets first", () => {
    const running = [
      { slot: 1, ageMs: 900, isHedged: false, slowdown: 1 },
      { slot: 2, ageMs: 100, isHedged: false, slowdown: 4 },
      { slot: 3, ageMs: 100, isHedged: false, slowdown: 1 },
    ];
    const input = { total: 40, completed: 37, waiting: 0, hedges: 0, running };
    expect(chooseHedges({ ...input, medianMs: 200 })).toEqual([2, 1]);
  });

  it("stays within the maximum number of hedges, oldest first", () => {
    const running = [1, 2, 3].map((slot) => ({
      slot,
      ageMs: 100 * slot,
      isHedged: false,
      slowdown: 1,
    }));
    const input = { total: 20, completed: 17, waiting: 0, hedges: 0, running };
    expect(chooseHedges({ ...input, medianMs: 50 })).toEqual([3, 2]);
    expect(chooseHedges({ ...input, medianMs: 50, hedges: 2 })).toEqual([]);
    expect(chooseHedges({ ...input, medianMs: undefined })).toEqual([]);
  });
});

describe(StalenessGate.name, () => {
  it("predicts the next announcement from the mean interval", () => {
    const gate = new StalenessGate();
    gate.announce(1, 0);
    gate.announce(2, 100);
    const bound = { maxVersionsBehind: 1 };
    expect(gate.requiredVersion(bound)).toBe(1);
    expect(gate.preferredVersion(bound, 150)).toBe(1);
    expect(gate.preferredVersion(bound, 250)).toBe(2);
  });
});

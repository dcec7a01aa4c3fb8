import { describe, expect, it } from "vitest";
import { FairQueue } from "./fair_queue.ts";

describe(FairQueue.name, () => {
  function doTest(options: {
    weights: Record<string, number>;
    costs: Record<string, number>;
    count: number;
    perWorkspace: number;
    expectedShares: Record<string, number>;
  }) {
    const queue = new FairQueue({ getWeight: (w) => options.weights[w] });
    for (const [workspace, cost] of Object.entries(options.costs)) {
      for (let i = 0; i < options.perWorkspace; i += 1) {
        queue.push({ id: `${workspace}${i}`, workspace, cost });
      }
    }
    const tokens: Record<string, number> = {};
    let sum = 0;
    for (let i = 0; i < options.count; i += 1) {
      const entry = queue.dequeue(() => true);
      if (entry === undefined) break;
      tokens[entry.workspace] = (tokens[entry.workspace] ?? 0) + entry.cost;
      sum += entry.cost;
    }
    for (const [workspace, share] of Object.entries(options.expectedShares)) {
      expect(tokens[workspace] / sum).toBeCloseTo(share, 1);
    }
  }

  it("shares capacity equally among equal weights", () => {
    doTest({
      weights: { a: 1, b: 1 },
      costs: { a: 100, b: 100 },
      count: 200,
      perWorkspace: 200,
      expectedShares: { a: 0.5, b: 0.5 },
    });
  });

  it("shares capacity by weight", () => {
    doTest({
      weights: { a: 3, b: 1 },
      costs: { a: 100, b: 100 },
      count: 200,
      perWorkspace: 400,
      expectedShares: { a: 0.75, b: 0.25 },
    });
  });

  it("measures shares in tokens rather than requests", () => {
    doTest({
      weights: { a: 1, b: 1 },
      costs: { a: 1000, b: 100 },
      count: 400,
      perWorkspace: 400,
      expectedShares: { a: 0.5, b: 0.5 },
    });
  });

  it("serves a sole workspace beyond its deficit without debt", () => {
    const queue = new FairQueue({ getWeight: () => 1 });
    for (let i = 0; i < 50; i += 1) {
      queue.push({ id: `${i}`, workspace: "a", cost: 10_000 });
    }
    for (let i = 0; i < 50; i += 1) {
      expect(queue.dequeue(() => true)).toBeDefined();
    }
    queue.push({ id: "x", workspace: "a", cost: 10_000 });
    queue.push({ id: "y", workspace: "b", cost: 10 });
    expect(queue.dequeue(() => true)?.id).toBe("y");
  });

  it("skips entries that cannot be placed", () => {
    const queue = new FairQueue({ getWeight: () => 1 });
    queue.push({ id: "a1", workspace: "a", cost: 1 });
    queue.push({ id: "b1", workspace: "b", cost: 1 });
    expect(queue.dequeue((e) => e.workspace === "b")?.id).toBe("b1");
    expect(queue.dequeue((e) => e.workspace === "b")).toBeUndefined();
    expect(queue.size).toBe(1);
  });

  it("corrects the charge to the actual cost", () => {
    const queue = new FairQueue({ getWeight: () => 1 });
    const tokens = { a: 0, b: 0 };
    for (let i = 0; i < 400; i += 1) {
      queue.push({ id: `a${i}`, workspace: "a", cost: 10 });
      queue.push({ id: `b${i}`, workspace: "b", cost: 100 });
    }
    for (let i = 0; i < 200; i += 1) {
      const entry = queue.dequeue(() => true);
      if (entry === undefined) break;
      const isA = entry.workspace === "a";
      tokens[isA ? "a" : "b"] += isA ? 100 : 100;
      queue.correct(entry.workspace, entry.cost, 100);
    }
    expect(tokens.a / (tokens.a + tokens.b)).toBeCloseTo(0.5, 1);
  });
});

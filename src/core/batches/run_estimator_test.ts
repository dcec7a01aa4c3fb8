import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { BatchRecord } from "./batch_record.ts";
import { RunEstimator } from "./run_estimator.ts";

describe(RunEstimator.name, () => {
  const items = [
    createItem("a1", { expectedTokens: 690 }),
    createItem("a2", { expectedTokens: 2_070 }),
    createItem("a3"),
  ];
  const record = new BatchRecord(createSpec({ items }));

  /** Expects the events left of each item after some were received. */
  function doTest(
    estimator: RunEstimator,
    received: number,
    expected: readonly number[],
  ) {
    const events = items.map((item) =>
      Math.round(estimator.remainingEvents({ record, item }, received))
    );
    expect(events).toEqual(expected);
  }

  /** Creates an estimator that saw events of 69 tokens each. */
  function learn(): RunEstimator {
    const estimator = new RunEstimator();
    for (let i = 0; i < 20; i += 1) {
      estimator.onCompleted("s", { expectedTokens: 1_380, events: 20 });
    }
    return estimator;
  }

  it("learns how many tokens an event holds", () =>
    doTest(learn(), 0, [10, 30, 20]));

  it("uses the estimates of a batch relative to each other at first", () =>
    doTest(new RunEstimator(), 0, [15, 45, 30]));

  it("expects more of an output that is longer than estimated", () =>
    doTest(learn(), 40, [12, 12, 12]));

  it("learns the time to read prompts, with and without a cache", () => {
    const estimator = new RunEstimator()
      .onFirstEvent("s", { isCached: false, events: 12 })
      .onFirstEvent("s", { isCached: true, events: 2 });
    const eventsOf = (isCached: boolean) =>
      estimator.promptEvents("s", { isCached, received: 0 });
    expect([eventsOf(false), eventsOf(true)]).toEqual([12, 2]);
  });

  it("goes on with the estimates of an earlier leader", () => {
    const saved = learn().save();
    const expected = items.map((item) =>
      Math.round(learn().remainingEvents({ record, item }, 0))
    );
    doTest(new RunEstimator().load(saved), 0, expected);
  });

  // Failure: a leader that leads again falls back to what others knew before.
  it("keeps its own estimates if they are based on more runs", () => {
    const [saved] = learn().save();
    const older = { ...saved, completed: saved.completed - 1, events: 1 };
    expect(learn().load([older]).save()).toEqual([saved]);
  });
});

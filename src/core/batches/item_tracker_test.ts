import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import type { BatchItem } from "./batch.ts";
import { BatchRecord } from "./batch_record.ts";
import { DemandMeter } from "./demand_meter.ts";
import { ItemTracker } from "./item_tracker.ts";
import { PendingLoads } from "./pending_loads.ts";
import { RunText } from "./run_text.ts";

function record(id: string, ids: readonly string[], minVersion = 0) {
  const items = ids.map((item) => createItem(item, { group: item }));
  return new BatchRecord(createSpec({ id, minVersion, items }));
}

function itemOf(batch: BatchRecord, id: string): BatchItem {
  const item = batch.getItem(id);
  if (item === undefined) throw new Error(`No item ${id}`);
  return item;
}

describe(ItemTracker.name, () => {
  function doTest(ids: readonly string[], expected: readonly string[]) {
    const first = record("b1", ["i1", "i2"]);
    const second = record("b2", ids);
    const tracker = new ItemTracker().indexFirstBatches([first, second]);
    const resubmitted = ids
      .filter((id) =>
        tracker.isResubmitted({ record: second, item: itemOf(second, id) })
      );
    expect(resubmitted).toEqual(expected);
  }

  it("detects items that an earlier batch contained", () =>
    doTest(["i2", "i3"], ["i2"]));

  it("doubles the backoff of an item with each interrupted run", () => {
    const batch = record("b1", ["i1"]);
    const waiting = { record: batch, item: itemOf(batch, "i1") };
    const tracker = new ItemTracker().backOff(waiting, 0).backOff(waiting, 0);
    expect(tracker.isBackingOff(waiting, 30)).toBe(true);
    expect(tracker.isBackingOff(waiting, 41)).toBe(false);
  });

  it("resumes only from output of a sufficiently new weight version", () => {
    const batch = record("b1", ["i1"], 4);
    const item = itemOf(batch, "i1");
    const text = new RunText().setVersion(3).setSoftware("v1");
    text.add({ id: 1, data: "a" });
    const tracker = new ItemTracker().savePartialText(
      { record: batch, item },
      text,
    );
    const partialOf = (of: BatchRecord) =>
      tracker.outputOf({ record: of, item }, [of]).partial
        .map(({ lastId }) => lastId);
    expect(partialOf(batch)).toEqual([]);
    expect(partialOf(record("b0", ["i1"], 3))).toEqual([1]);
  });

  it("resumes from no output whose writer is unknown, or of another service", () => {
    const batch = record("b1", ["i1"]);
    const item = itemOf(batch, "i1");
    const text = new RunText().setVersion(3);
    text.add({ id: 1, data: "a" });
    const waiting = { record: batch, item };
    const tracker = new ItemTracker().savePartialText(waiting, text);
    expect(tracker.outputOf(waiting, [batch]))
      .toEqual({ complete: undefined, partial: [], receivedEvents: 1 });
    const moved = new BatchRecord({ ...batch.spec, service: "other" });
    tracker.savePartialText(waiting, text.setSoftware("v1"));
    expect(tracker.outputOf({ record: moved, item }, [batch]).receivedEvents)
      .toBe(0);
  });
});

describe(DemandMeter.name, () => {
  it("reports the mean and peak number of open items", () => {
    const meter = new DemandMeter();
    const batch = record("b1", ["i1", "i2"]);
    expect(meter.sample([batch])).toBe(2);
    expect(meter.sample([batch.end()])).toBe(0);
    const peaks = { m: 2 };
    expect(meter.readAndReset()).toEqual([{
      service: "s",
      meanItems: 1,
      peaks,
    }]);
    expect(meter.readAndReset()).toEqual([]);
  });
});

describe(PendingLoads.name, () => {
  const load = { target: "t", incarnation: 1, model: "m", version: 3 };

  function doTest(
    versions: Readonly<Record<string, number>>,
    query: { model: string; now: number },
    expected: boolean,
  ) {
    const report = createReport({ id: "t", versions });
    const loads = new PendingLoads().onOrdered(load, 0);
    expect(loads.isLoading(report, query.model, query.now))
      .toBe(expected);
  }

  it("reports a load until the target reports the version", () => {
    doTest({ m: 2 }, { model: "m", now: 100 }, true);
    doTest({ m: 3 }, { model: "m", now: 100 }, false);
  });

  it("reports a load only for its model", () =>
    doTest({ m: 2 }, { model: "other", now: 100 }, false));

  it("ends a load after the timeout", () =>
    doTest({ m: 2 }, { model: "m", now: 9_000 }, false));
});

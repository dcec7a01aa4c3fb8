import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { BatchDrain } from "./batch_drain.ts";
import { BatchRecord } from "./batch_record.ts";

const spec = createSpec({
  items: Array.from(
    { length: 60 },
    (_, i) => createItem(`a${i}`, { expectedTokens: 10 }),
  ),
});

/** Completes 40 items in 2 s. */
function drainSome(drain: BatchDrain): BatchDrain {
  for (let i = 0; i < 40; i += 1) {
    drain.onResult("b", `a${i}`, { isCompleted: true, now: 50 * (i + 1) });
  }
  return drain;
}

describe(BatchDrain.name, () => {
  function doTest(
    drain: BatchDrain,
    expected: { open: number; isRateKnown: boolean },
  ) {
    expect(drain.openTokens("s")).toBe(expected.open);
    expect(drain.tokensPerMs("s", 2_000) !== undefined)
      .toBe(expected.isRateKnown);
  }

  it("measures the rate of open items", () =>
    doTest(drainSome(new BatchDrain().start([new BatchRecord(spec)], 0)), {
      open: 200,
      isRateKnown: true,
    }));

  it("counts repeated batches and results once", () => {
    const drain = new BatchDrain().start([], 0).onAccepted(spec, 0);
    drainSome(drainSome(drain).onAccepted(spec, 0));
    doTest(drain, { open: 200, isRateKnown: true });
  });

  it("counts neither abandoned items nor ended batches as drained", () => {
    const drain = new BatchDrain().start([], 0).onAccepted(spec, 0);
    for (let i = 0; i < 40; i += 1) {
      drain.onResult("b", `a${i}`, { isCompleted: false, now: 50 * i });
    }
    doTest(drain, { open: 200, isRateKnown: false });
    doTest(drain.onEnded("b", 2_000), { open: 0, isRateKnown: false });
  });

  it("knows no rate of an earlier leadership", () => {
    const drain = drainSome(new BatchDrain().start([], 0).onAccepted(spec, 0));
    doTest(drain.stop().start([new BatchRecord(spec)], 2_000), {
      open: 600,
      isRateKnown: false,
    });
  });
});

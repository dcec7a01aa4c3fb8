import { describe, expect, it } from "vitest";
import { LedgerLog } from "./ledger_log.ts";

const TEXT = "x".repeat(1_000);

describe(LedgerLog.name, () => {
  function createLog(count: number): LedgerLog {
    const entries = Array.from({ length: count }, (_, i) => ({
      index: i + 1,
      view: 1,
      record: { type: "usage", entries: [{ workspace: TEXT }] } as never,
    }));
    return new LedgerLog({ index: 0, view: 0 }, entries);
  }

  function doTest(
    limits: { maxEntries: number; maxBytes: number },
    expected: number,
  ) {
    const log = createLog(10);
    log.dropUpTo(2);
    expect(log.excessIndex(limits)).toBe(expected);
  }

  it("retains a number of entries", () =>
    doTest({ maxEntries: 3, maxBytes: 1e9 }, 7));

  // Guards against a ledger that ends for lack of memory by heavy records.
  it("retains no more than a size", () =>
    doTest({ maxEntries: 100, maxBytes: 4_500 }, 6));

  it("has no excess within the limits", () =>
    doTest({ maxEntries: 100, maxBytes: 1e9 }, 2));

  it("keeps the sizes of what is left", () => {
    const log = createLog(6).truncateAfter(4).dropUpTo(1);
    expect(log.size).toBe(3);
    expect(log.excessIndex({ maxEntries: 100, maxBytes: 2_500 })).toBe(2);
  });
});

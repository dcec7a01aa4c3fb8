import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { MAX_RETRY_AFTER_MS } from "../retry/mod.ts";
import { ResultState } from "./batch.ts";
import { BatchState } from "./batch_state.ts";
import { expectedBytesOf, findRetryAfterMs, roomOf } from "./ledger_room.ts";

const MB = 1_000_000;
const KEEP_MS = 120_000;
const SLACK_MS = 30_000;
const TEXT_BYTES = 10_000;
const ITEMS = 10;
const ITEM_IDS = Array.from({ length: ITEMS }, (_, i) => `i-${i}`);

describe(roomOf.name, () => {
  function doTest(
    machineMb: number | undefined,
    [minMb, maxMb]: readonly [number, number],
  ) {
    const machineBytes = machineMb === undefined ? undefined : machineMb * MB;
    const room = roomOf({ heapBytes: 160 * MB, machineBytes });
    expect(room).toBeGreaterThanOrEqual(minMb * MB);
    expect(room).toBeLessThanOrEqual(maxMb * MB);
  }

  it("holds the results of 1 MB/s on a machine of 390 MB", () =>
    doTest(390, [150, 390 - 160]));

  it("leaves the rest of a small machine to the process", () =>
    doTest(220, [40, 220 - 160]));

  it("is that of the heap on an unknown machine", () =>
    doTest(undefined, [100, 160]));

  it("is never nothing", () => doTest(64, [16, 64]));
});

describe(findRetryAfterMs.name, () => {
  /** Creates batches, each accepted a second after the one before. */
  function createState(batches: number, results: number) {
    const state = new BatchState();
    for (let i = 0; i < batches; i += 1) {
      const id = `b-${i}`;
      const items = ITEM_IDS.map((item) => createItem(item));
      const acceptedAt = 1_000 * i;
      state.apply({
        type: "accept",
        spec: createSpec({ id, acceptedAt, items }),
      });
      const records = ITEM_IDS.slice(0, results).map((item) => ({
        batch: id,
        result: {
          id: item,
          state: ResultState.Completed,
          text: "x".repeat(TEXT_BYTES),
          versions: [1],
        },
      }));
      state.apply({ type: "list", records });
      if (results === ITEMS) state.apply({ type: "end", batch: id });
    }
    return state;
  }

  function doTest(
    { batches, results = ITEMS }: { batches: number; results?: number },
    roomBatches: number,
    wallNow = 0,
  ) {
    const records = createState(batches, results).all;
    const batchBytes = expectedBytesOf(records) / Math.max(1, batches);
    return findRetryAfterMs({
      spec: createSpec({ id: "new", items: records[0]?.spec.items ?? [] }),
      records,
      room: {
        memoryBytes: roomBatches * batchBytes,
        diskBytes: Infinity,
        maxUnmovedBytes: Infinity,
      },
      keepResultsMs: KEEP_MS,
      wallNow,
    });
  }

  it("is 0 while there is room, and if nothing is held", () => {
    expect(doTest({ batches: 8 }, 10)).toBe(0);
    expect(doTest({ batches: 0 }, 0)).toBe(0);
  });

  it("is the time until enough batches have expired", () => {
    // Three batches must expire, of which the third was accepted at 2 s.
    const waitMs = 4_000;
    const wallNow = 2_000 + KEEP_MS + SLACK_MS - waitMs;
    const retryAfterMs = doTest({ batches: 12 }, 10.1, wallNow);
    expect(retryAfterMs).toBeGreaterThanOrEqual(waitMs);
    expect(retryAfterMs).toBeLessThanOrEqual(1.25 * waitMs);
  });

  it("is bounded where results are kept for long", () => {
    expect(doTest({ batches: 12 }, 10.1)).toBeLessThanOrEqual(
      MAX_RETRY_AFTER_MS,
    );
  });

  it("counts the results that open batches will have", () => {
    const state = createState(10, 5);
    const expectedBytes = expectedBytesOf(state.all);
    expect(expectedBytes).toBeGreaterThan(10 * ITEMS * TEXT_BYTES);
    expect(state.bytes).toBeLessThan(0.6 * expectedBytes);
    expect(doTest({ batches: 10, results: 5 }, 10)).toBeGreaterThan(0);
  });
});

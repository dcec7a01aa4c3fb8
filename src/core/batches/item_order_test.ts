import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import type { BatchItem, BatchSpec } from "./batch.ts";
import { BatchRecord } from "./batch_record.ts";
import { orderItems } from "./item_order.ts";

function item(id: string, expectedTokens: number): BatchItem {
  return createItem(id, { expectedTokens });
}

function record(
  items: readonly BatchItem[],
  fields: Partial<BatchSpec> = {},
): BatchRecord {
  return new BatchRecord(createSpec({ items, ...fields }));
}

describe(orderItems.name, () => {
  function doTest(
    records: readonly BatchRecord[],
    expected: readonly string[],
    options: {
      running?: readonly string[];
      resubmitted?: readonly string[];
      now?: number;
    } = {},
  ) {
    const order = orderItems({
      records,
      isWaiting: (_r, i) => options.running?.includes(i.id) !== true,
      isResubmitted: (_r, i) => options.resubmitted?.includes(i.id) === true,
      now: options.now ?? 0,
    });
    expect(order.map((waiting) => waiting.item.id)).toEqual(expected);
  }

  const items = [
    item("a1", 10),
    item("a2", 90),
    item("b1", 40),
    item("b2", 50),
    item("c1", 20),
    item("c2", 30),
  ];

  it("starts the longest items first", () => {
    doTest([record(items)], ["a2", "b2", "b1", "c2", "c1", "a1"]);
  });

  it("puts the longest groups last if the caller does not need all", () => {
    doTest(
      [record(items, { desiredGroups: 2 })],
      ["b2", "b1", "c2", "c1", "a2", "a1"],
    );
  });

  it("prefers resubmitted groups whatever their length", () => {
    doTest(
      [record(items, { desiredGroups: 2 })],
      ["a2", "c2", "c1", "a1", "b2", "b1"],
      { resubmitted: ["a1", "a2"] },
    );
  });

  it("prefers groups in progress over shorter ones", () => {
    doTest(
      [record(items, { desiredGroups: 1 })],
      ["b2", "c2", "c1", "a2", "a1"],
      { running: ["b1"] },
    );
  });

  it("orders batches by due time with overdue ones last", () => {
    const late = record([item("x1", 5)], { acceptedAt: -2_000 });
    const soon = record([item("y1", 5)], { acceptedAt: -500 });
    const later = record([item("z1", 5)]);
    doTest([late, later, soon], ["y1", "z1", "x1"]);
  });
});

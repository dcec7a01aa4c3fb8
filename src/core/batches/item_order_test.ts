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

  it("puts the priority of workspaces before that of routes and due times", () => {
    const of = (id: string, workspace: number, route: number) =>
      record([item(id, 5)], { priority: { workspace, route } });
    const soon = record([item("s1", 5)], {
      priority: { workspace: 1, route: 0 },
      acceptedAt: -900,
    });
    const stored = record([item("o1", 5)]);
    doTest([soon, of("r1", 0, 1), of("u1", 0, 0), stored], [
      "u1",
      "o1",
      "r1",
      "s1",
    ]);
  });

  it("alternates between workspaces whose batches are due together", () => {
    const large = record([item("a1", 9), item("b1", 9), item("c1", 9)], {
      workspace: "large",
    });
    const small = record([item("x1", 5), item("y1", 5)], {
      workspace: "small",
      acceptedAt: 300,
    });
    doTest([large, small], ["a1", "x1", "y1", "b1", "c1"]);
  });

  it("counts what runs towards the share of a batch", () => {
    const busy = record([item("a1", 9), item("a2", 9)]);
    const idle = record([item("x1", 5), item("y1", 3)], { acceptedAt: 300 });
    doTest([busy, idle], ["x1", "y1", "a2"], { running: ["a1"] });
  });

  it("does not divide the slots while the first batch can be in time", () => {
    const first = record([item("a1", 9), item("a2", 8), item("a3", 7)]);
    const later = record([item("x1", 5)], { objectiveMs: 3_000 });
    doTest([later, first], ["a1", "a2", "a3", "x1"]);
  });

  it("starves no batch of little urgency beside many items of others", () => {
    const usual = record([item("x1", 5), item("y1", 5)], {
      priority: { workspace: 1, route: 0 },
    });
    const urgent = record([
      item("r1", 5),
      item("r2", 5),
      item("r3", 5),
      item("a1", 5),
      item("a2", 5),
    ]);
    doTest([usual, urgent], ["a1", "x1", "a2", "y1"], {
      running: ["r1", "r2", "r3"],
    });
  });

  it("completes groups one after another if many items are overdue", () => {
    const late = record([item("l1", 5), item("m1", 5)], {
      acceptedAt: -2_000,
    });
    const batch = record([
      item("a1", 9),
      item("a2", 1),
      item("b1", 2),
      item("b2", 3),
    ]);
    doTest([late, batch], ["b2", "b1", "a1", "a2", "l1", "m1"]);
  });

  it("orders batches by due time with overdue ones last", () => {
    const late = record([item("x1", 5)], { acceptedAt: -2_000 });
    const soon = record([item("y1", 5)], { acceptedAt: -500 });
    const later = record([item("z1", 5)]);
    doTest([late, later, soon], ["y1", "z1", "x1"]);
  });
});

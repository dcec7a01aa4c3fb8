import { describe, expect, it } from "vitest";
import { EVENT_CATALOGUE, type EventName } from "../logging/mod.ts";
import { type Loss, summarizeLosses } from "./loss_summary.ts";

type Fields = Readonly<Record<string, unknown>>;

function line(second: number, event: EventName, fields: Fields): string {
  return JSON.stringify({
    instance: "a",
    event: EVENT_CATALOGUE[event].number,
    time: new Date(second * 1_000).toISOString(),
    ...fields,
  });
}

const accepted = (at: number, batch: string, items = 3) =>
  line(at, "batchAccepted", { batch, items, objectiveMs: 5_000 });
const listed = (at: number, batch: string, item: string) =>
  line(at, "itemListed", { batch, item, state: "completed" });

describe(summarizeLosses.name, () => {
  function doTest(lines: readonly string[], expected: readonly Loss[]) {
    expect(summarizeLosses(lines)).toEqual(expected);
    expect(summarizeLosses(lines.toReversed())).toHaveLength(expected.length);
  }

  it("counts calls by their last refusal, unless they are answered later", () =>
    doTest([
      line(1, "callRefused", { request: "r1", reason: "noTarget" }),
      line(2, "callRefused", { request: "r2", reason: "noTarget" }),
      line(3, "callAnswered", { request: "r2" }),
    ], [{ kind: "call", cause: "noTarget", count: 1 }]));

  it("counts calls without an outcome by whether their process ended", () =>
    doTest([
      line(1, "callPlaced", { request: "r1", instance: "a" }),
      line(1, "callPlaced", { request: "r2", instance: "a" }),
      line(1, "callPlaced", { request: "r3", instance: "b" }),
      line(2, "fleetJoined", { instance: "a" }),
    ], [
      { kind: "call", cause: "processEnded", count: 2 },
      { kind: "call", cause: "unanswered", count: 1 },
    ]));

  it("counts batches that are refused and never accepted, by the reason", () =>
    doTest([
      line(1, "batchRefused", { batch: "b1", reason: "memory" }),
      line(2, "batchRefused", { batch: "b2", reason: "memory" }),
      accepted(3, "b2", 0),
    ], [{ kind: "batch", cause: "memory", count: 1 }]));

  it("counts items that are late by their last step, and those without one", () =>
    doTest([
      accepted(1, "b1", 5),
      listed(3, "b1", "i1"),
      line(2, "itemPlaced", { batch: "b1", item: "i2" }),
      line(3, "itemBroken", { batch: "b1", item: "i2", reason: "reset" }),
      listed(7, "b1", "i2"),
      line(3, "itemSent", { batch: "b1", item: "i3" }),
    ], [
      { kind: "item", cause: "notPlaced", count: 2 },
      { kind: "item", cause: "broken: reset", count: 1 },
      { kind: "item", cause: "sent", count: 1 },
    ]));

  it("tells a ledger without a leader from items that wait", () =>
    doTest([
      line(0, "becameControlLeader", { log: "batches" }),
      accepted(1, "b1"),
      line(2, "lostControlLead", { log: "batches" }),
      line(9, "becameControlLeader", { log: "batches" }),
    ], [{ kind: "item", cause: "noLeader", count: 3 }]));

  it("takes the leader that came last, though another one gives up later", () =>
    doTest([
      line(0, "becameControlLeader", { log: "batches", instance: "a" }),
      accepted(1, "b1"),
      line(2, "becameControlLeader", { log: "batches", instance: "b" }),
      line(3, "lostControlLead", { log: "batches", instance: "a" }),
    ], [{ kind: "item", cause: "notPlaced", count: 3 }]));

  it("counts nothing of a batch that its caller ended in time", () =>
    doTest([
      accepted(1, "b1"),
      listed(2, "b1", "i1"),
      line(4, "batchEnded", { batch: "b1" }),
    ], []));
});

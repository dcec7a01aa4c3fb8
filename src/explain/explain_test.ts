import { describe, expect, it } from "vitest";
import { EVENT_CATALOGUE, type EventName } from "../logging/mod.ts";
import { explain } from "./explain.ts";

function createLine(
  second: number,
  instance: string,
  event: EventName,
  fields: Readonly<Record<string, unknown>> = {},
): string {
  return JSON.stringify({
    name: "nutmegreel",
    instance,
    event: EVENT_CATALOGUE[event].number,
    time: new Date(second * 1_000).toISOString(),
    ...fields,
  });
}

describe(explain.name, () => {
  function doTest(
    id: string,
    lines: readonly string[],
    expected: {
      events: readonly EventName[];
      deciding: EventName | undefined;
      context?: readonly EventName[];
      restart?: EventName;
    },
  ) {
    const { lines: found, deciding, context, restart } = explain(id, lines);
    expect(restart?.event).toBe(expected.restart);
    expect(found.map((line) => line.event)).toEqual(expected.events);
    expect(deciding?.event).toBe(expected.deciding);
    expect(context.map((line) => line.event)).toEqual(expected.context ?? []);
  }

  it("orders the lines of a request across instances by time", () => {
    doTest("r1", [
      createLine(3, "e2", "callRefused", { request: "r1" }),
      createLine(1, "e1", "callRetried", { request: "r1" }),
      createLine(2, "e1", "callRetried", { request: "r2" }),
    ], { events: ["callRetried", "callRefused"], deciding: "callRefused" });
  });

  it("reports the restart of an instance that ended with the request", () => {
    doTest("r1", [
      createLine(1, "e1", "callPlaced", { request: "r1" }),
      createLine(2, "e2", "fleetJoined"),
      createLine(3, "e1", "fleetJoined"),
    ], {
      events: ["callPlaced"],
      deciding: "callPlaced",
      restart: "fleetJoined",
    });
  });

  it("shows state changes of the deciding instance shortly before", () => {
    doTest("r1", [
      createLine(1, "e1", "policyInForce"),
      createLine(8, "e1", "policyLeaseLost"),
      createLine(8, "e2", "policyLeaseHeld"),
      createLine(9, "e1", "callRefused", { request: "r1" }),
      createLine(10, "e1", "policyLeaseHeld"),
    ], {
      events: ["callRefused"],
      deciding: "callRefused",
      context: ["policyLeaseLost"],
    });
  });

  it("includes the lines of an item's batch but not of other items", () => {
    doTest("i1", [
      createLine(1, "l1", "batchAccepted", { batch: "b1" }),
      createLine(2, "l1", "itemPlaced", { batch: "b1", item: "i1" }),
      createLine(2, "l1", "itemPlaced", { batch: "b1", item: "i2" }),
      createLine(3, "l1", "itemBroken", { batch: "b1", item: "i1" }),
    ], {
      events: ["batchAccepted", "itemPlaced", "itemBroken"],
      deciding: "itemBroken",
    });
  });

  it("ignores foreign lines and prefixes of log collectors", () => {
    doTest("r1", [
      "no object",
      "{broken",
      `12.5 entry ${createLine(1, "e1", "callAnswered", { request: "r1" })}`,
    ], { events: ["callAnswered"], deciding: "callAnswered" });
  });

  it("finds no lines for an unknown id", () => {
    doTest("r9", [createLine(1, "e1", "callAnswered", { request: "r1" })], {
      events: [],
      deciding: undefined,
    });
  });
});

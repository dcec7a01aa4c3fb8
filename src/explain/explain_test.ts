import { describe, expect, it } from "vitest";
import { EVENT_CATALOGUE, type EventName } from "../logging/mod.ts";
import { explain } from "./explain.ts";

function line(
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
      steps: readonly EventName[];
      deciding: EventName | undefined;
      context?: readonly EventName[];
      restart?: EventName;
    },
  ) {
    const { steps, deciding, context, restart } = explain(id, lines);
    expect(restart?.event).toBe(expected.restart);
    expect(steps.map((step) => step.event)).toEqual(expected.steps);
    expect(deciding?.event).toBe(expected.deciding);
    expect(context.map((step) => step.event)).toEqual(expected.context ?? []);
  }

  it("orders the lines of a request over instances", () => {
    doTest("r1", [
      line(3, "e2", "callRefused", { request: "r1" }),
      line(1, "e1", "callRetried", { request: "r1" }),
      line(2, "e1", "callRetried", { request: "r2" }),
    ], { steps: ["callRetried", "callRefused"], deciding: "callRefused" });
  });

  it("tells a request that ended with its process", () => {
    doTest("r1", [
      line(1, "e1", "callPlaced", { request: "r1" }),
      line(2, "e2", "fleetJoined"),
      line(3, "e1", "fleetJoined"),
    ], {
      steps: ["callPlaced"],
      deciding: "callPlaced",
      restart: "fleetJoined",
    });
  });

  it("shows what the deciding instance believed shortly before", () => {
    doTest("r1", [
      line(1, "e1", "policyInForce"),
      line(8, "e1", "policyLeaseLost"),
      line(8, "e2", "policyLeaseHeld"),
      line(9, "e1", "callRefused", { request: "r1" }),
      line(10, "e1", "policyLeaseHeld"),
    ], {
      steps: ["callRefused"],
      deciding: "callRefused",
      context: ["policyLeaseLost"],
    });
  });

  it("explains an item with its batch, without the other items", () => {
    doTest("i1", [
      line(1, "l1", "batchAccepted", { batch: "b1" }),
      line(2, "l1", "itemPlaced", { batch: "b1", item: "i1" }),
      line(2, "l1", "itemPlaced", { batch: "b1", item: "i2" }),
      line(3, "l1", "itemBroken", { batch: "b1", item: "i1" }),
    ], {
      steps: ["batchAccepted", "itemPlaced", "itemBroken"],
      deciding: "itemBroken",
    });
  });

  it("passes over lines of others and prefixes of collectors", () => {
    doTest("r1", [
      "no object",
      "{broken",
      `12.5 entry ${line(1, "e1", "callAnswered", { request: "r1" })}`,
    ], { steps: ["callAnswered"], deciding: "callAnswered" });
  });

  it("finds nothing of an unknown id", () => {
    doTest("r9", [line(1, "e1", "callAnswered", { request: "r1" })], {
      steps: [],
      deciding: undefined,
    });
  });
});

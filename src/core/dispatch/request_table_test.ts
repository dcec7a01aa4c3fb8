import { describe, expect, it } from "vitest";
import { ActiveRequest } from "./active_request.ts";
import { RequestTable } from "./request_table.ts";
import type { WorkItem } from "./work_item.ts";

describe(RequestTable.name, () => {
  function create(id: string, deadline = 100): ActiveRequest {
    return new ActiveRequest(
      { id, deadline, fingerprint: "f" } as WorkItem,
      0,
    );
  }

  /** Adds three requests, with deadlines at 100, 200 and never. */
  function doTest(
    during: (table: RequestTable, requests: ActiveRequest[]) => unknown,
    expected: readonly string[],
  ) {
    const table = new RequestTable();
    const requests = [create("b", 200), create("a"), create("c", Infinity)];
    for (const request of requests) table.add(request);
    const taken = during(table, requests) as Iterable<ActiveRequest>;
    expect([...taken].map(({ item }) => item.id)).toEqual(expected);
  }

  it("takes overdue requests by their deadlines", () =>
    doTest((table) => table.takeOverdue(1_000), ["a", "b"]));

  // Guards against a refusal of a request that a target runs or that has ended.
  it("takes no overdue request that runs or has ended", () =>
    doTest((table, [running, ended]) => {
      running.targetId = "t1";
      table.remove(ended);
      return table.takeOverdue(1_000);
    }, []));

  // Guards against a deadline of an earlier request with the same item.
  it("takes no request that another of the same item has replaced", () =>
    doTest((table) => {
      table.add(create("a", Infinity));
      return table.takeOverdue(1_000);
    }, ["b"]));

  it("takes each delayed request once, when its delay is over", () =>
    doTest((table, [first, second]) => {
      [first.notBefore, second.notBefore] = [10, 20];
      table.delay(first);
      table.delay(second);
      const early = [...table.takeDue(10)];
      return [...early, ...table.takeDue(10)];
    }, ["b"]));

  // Guards against a retry of a request that was cancelled during its delay.
  it("takes no delayed request that has ended", () =>
    doTest((table, [first]) => {
      table.delay(first);
      table.remove(first);
      return table.takeDue(1_000);
    }, []));

  it("finds waiting requests with a fingerprint, but no running ones", () =>
    doTest((table, [first]) => {
      first.targetId = "t1";
      return table.waitingWith("f");
    }, ["a", "c"]));
});

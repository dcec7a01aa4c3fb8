import { describe, expect, it } from "vitest";
import { Target } from "../../core/routing/mod.ts";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import type { Job, JobResult } from "./job.ts";
import { JobTable } from "./job_table.ts";

const ITEM = { id: "i1" } as Job["item"];
const REFUSED: JobResult = {
  type: "refused",
  reason: RefusalReason.NoTarget,
  verdict: Verdict.NotRun,
};

describe(JobTable.name, () => {
  const target = new Target({
    id: "t1",
    pools: ["p"],
    zone: "z",
    url: "http://127.0.0.1:1/",
    incarnation: "n1",
  });

  /** Adds a job, begins two attempts and gets what its owner is told. */
  function doTest(
    during: (
      table: JobTable,
      attempts: ReturnType<JobTable["begin"]>[],
    ) => void,
  ): JobResult[] {
    const results: JobResult[] = [];
    const table = new JobTable();
    table.add({
      item: ITEM,
      request: {
        path: "/x",
        method: "POST",
        headers: {},
        body: undefined,
        timeoutMs: 1_000,
      },
      createSink: () => ({
        hasResponded: false,
        tokens: 0,
        onHead: () => {},
        onData: () => true,
        isComplete: () => true,
      }),
      onEnd: (result) => results.push(result),
    });
    const start = { type: "start", item: ITEM, targetId: "t1" } as const;
    const attempts = [1, 2].map((attempt) =>
      table.begin({ ...start, attempt } as never, target)
    );
    during(table, attempts);
    return results;
  }

  // Guards against a late result of an attempt that another has replaced.
  it("has the newest attempt of a job as its current one", () => {
    doTest((table, [first, second]) => {
      expect(first !== undefined && table.isCurrent(first)).toBe(false);
      expect(second !== undefined && table.isCurrent(second)).toBe(true);
      table.abort("i1");
      expect(first?.abort.signal.aborted).toBe(false);
      expect(second?.abort.signal.aborted).toBe(true);
    });
  });

  // Guards against a job whose owner is told of two ends.
  it("ends a job once, after which it has no attempt", () => {
    const removals: string[] = [];
    const results = doTest((table, [, second]) => {
      table.end("i1", REFUSED, () => removals.push("first"));
      table.end("i1", { type: "cancelled" }, () => removals.push("second"));
      expect(second !== undefined && table.isCurrent(second)).toBe(false);
      expect(table.has("i1")).toBe(false);
      expect(table.size).toBe(0);
    });
    expect({ results, removals }).toEqual({
      results: [REFUSED],
      removals: ["first"],
    });
  });
});

import { describe, expect, it } from "vitest";
import { type BatchResult, ResultState } from "./batch.ts";
import { ResultCache } from "./result_cache.ts";

function result(id: string): BatchResult {
  return { id, state: ResultState.Completed, text: id, versions: [1] };
}

describe(ResultCache.name, () => {
  const place = { workspace: "w", batch: "b", after: 0 };

  function doTest(
    pages: readonly { after: number; ids: readonly string[] }[],
    after: number,
    expected: readonly string[] | undefined,
  ) {
    const cache = new ResultCache(1_000_000);
    for (const page of pages) {
      cache.add({ ...place, after: page.after }, {
        total: 9,
        next: page.after + page.ids.length,
        results: page.ids.map(result),
      });
    }
    const held = cache.get({ ...place, after }, 1_000_000);
    expect(held?.results.map((r) => r.id)).toEqual(expected);
  }

  it("returns added results from any position", () => {
    const pages = [{ after: 0, ids: ["a", "b"] }, { after: 2, ids: ["c"] }];
    doTest(pages, 0, ["a", "b", "c"]);
    doTest(pages, 2, ["c"]);
    doTest(pages, 3, undefined);
  });

  it("merges overlapping pages", () => {
    const pages = [{ after: 0, ids: ["a", "b"] }, {
      after: 1,
      ids: ["b", "c"],
    }];
    doTest(pages, 0, ["a", "b", "c"]);
  });

  it("ignores a page that leaves a gap", () => {
    doTest([{ after: 1, ids: ["b"] }], 1, undefined);
  });

  it("returns nothing to other workspaces", () => {
    const cache = new ResultCache(1_000_000);
    cache.add(place, { total: 1, next: 1, results: [result("a")] });
    expect(cache.get({ ...place, workspace: "x" }, 1_000)).toBeUndefined();
  });

  it("returns at least one result whatever its size", () => {
    const cache = new ResultCache(1_000_000);
    const results = [result("a"), result("b")];
    cache.add(place, { total: 2, next: 2, results });
    expect(cache.get(place, 1)?.results).toEqual([result("a")]);
  });
});

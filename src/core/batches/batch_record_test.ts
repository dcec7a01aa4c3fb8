import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { ResultState } from "./batch.ts";
import { BatchRecord } from "./batch_record.ts";

const SPEC = createSpec({
  items: ["i1", "i2", "i3"].map((id) => createItem(id)),
});

function completed(id: string, text: string) {
  return { id, state: ResultState.Completed, text, versions: [1] };
}

describe(BatchRecord.name, () => {
  function doTest(
    ids: readonly string[],
    page: { after: number; maxBytes: number },
    expected: readonly string[],
  ) {
    const record = new BatchRecord(SPEC);
    for (const id of ids) record.addResult(completed(id, `text of ${id}`));
    const { results, next, total } = record.getPage(page.after, page.maxBytes);
    expect(results.map((result) => result.id)).toEqual(expected);
    expect(next).toBe(page.after + expected.length);
    expect(total).toBe(3);
  }

  it("returns results in the order in which they were added", () => {
    doTest(["i2", "i1"], { after: 0, maxBytes: 1_000 }, ["i2", "i1"]);
    doTest(["i2", "i1"], { after: 1, maxBytes: 1_000 }, ["i1"]);
  });

  it("holds no bodies once it has ended", () => {
    const record = new BatchRecord(SPEC);
    const before = record.bytes;
    expect(record.end().getItem("i1")?.body).toHaveLength(0);
    expect(record.bytes).toBe(
      before - SPEC.items.reduce((sum, { body }) => sum + body.length, 0),
    );
  });

  it("stores only the first result of an item", () => {
    const record = new BatchRecord(SPEC);
    expect(record.addResult(completed("i1", "first"))).toBe(true);
    expect(record.addResult(completed("i1", "second"))).toBe(false);
    expect(record.results).toEqual([completed("i1", "first")]);
  });

  // Guards against results that read differently from replicas of two builds.
  it("lists the fields of each result in one order", () => {
    const record = new BatchRecord(SPEC);
    const [text, versions, state] = ["b", [1], ResultState.Completed];
    record.addResult({ versions, text, state, id: "i1" });
    record.appendPartialText({
      batch: "b",
      item: "i2",
      after: 0,
      pieces: ["a"],
      versions,
    });
    record.addResult({ state, versions, text, id: "i2", score: "9" }, 1);
    const fields = record.results.map((result) => Object.keys(result));
    expect(fields[0]).toEqual(["id", "state", "text", "versions"]);
    expect(fields[1]).toEqual(["id", "state", "text", "versions", "score"]);
  });

  it("limits a page by size but returns at least one result", () => {
    doTest(["i1", "i2"], { after: 0, maxBytes: 1 }, ["i1"]);
  });

  it("rejects results of items that are not in the batch", () => {
    expect(new BatchRecord(SPEC).addResult(completed("x", ""))).toBe(false);
  });

  it("appends partial output in order and restarts it at event 0", () => {
    const record = new BatchRecord(SPEC);
    const addText = (after: number, pieces: string[]) =>
      record.appendPartialText({
        batch: "b",
        item: "i1",
        after,
        pieces,
        versions: [1],
      });
    expect(addText(0, ["a", "b"])).toBe(true);
    expect(addText(3, ["x"])).toBe(false);
    expect(addText(2, ["c"])).toBe(true);
    expect(record.getPartialText("i1")).toEqual({
      lastId: 3,
      pieces: ["a", "b", "c"],
      versions: [1],
    });
    expect(addText(0, ["z"])).toBe(true);
    expect(record.getPartialText("i1")?.pieces).toEqual(["z"]);
    record.addResult(completed("i1", "z"));
    expect(record.getPartialText("i1")).toBeUndefined();
  });

  it("prepends the stored partial output to a result", () => {
    const record = new BatchRecord(SPEC);
    const partial = { batch: "b", item: "i1", versions: [1] };
    record.appendPartialText({ ...partial, after: 0, pieces: ["a", "b"] });
    expect(record.addResult(completed("i1", "c"), 2)).toBe(true);
    expect(record.getResult("i1")?.text).toBe("a\nb\nc");
    record.appendPartialText({
      ...partial,
      item: "i2",
      after: 0,
      pieces: ["x"],
    });
    expect(record.addResult(completed("i2", ""), 1)).toBe(true);
    expect(record.getResult("i2")?.text).toBe("x");
  });

  it("rejects a result if the output before it is not stored", () => {
    const record = new BatchRecord(SPEC);
    expect(record.addResult(completed("i1", "c"), 2)).toBe(false);
    expect(record.getResult("i1")).toBeUndefined();
  });
});

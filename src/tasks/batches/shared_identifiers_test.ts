import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import {
  BatchRecord,
  ItemTracker,
  type ResultRecord,
  RunText,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import { ResultWriter } from "./result_writer.ts";

function createWaiting(id: string, workspace: string): WaitingItem {
  const item = createItem("i1");
  const spec = createSpec({ id, workspace, items: [item] });
  return { record: new BatchRecord(spec), item };
}

// Guards against a workspace that reads the text of another one.
describe("items of two workspaces with the same identifiers", () => {
  const step = fc.record({
    workspace: fc.constantFrom("a", "b"),
    action: fc.constantFrom("save", "store", "fail", "complete"),
  });

  function textOf(workspace: string): RunText {
    const text = new RunText().setVersion(1).setSoftware("v1");
    text.add({ id: 1, data: `text of ${workspace}` });
    return text;
  }

  it("share neither texts, nor results, nor failures", () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const tracker = new ItemTracker();
      const records: BatchRecord[] = [];
      const failures: Record<string, number> = { a: 0, b: 0 };
      for (const [i, { workspace, action }] of steps.entries()) {
        const waiting = createWaiting(`b${i}`, workspace);
        const { record, item } = waiting;
        records.push(record);
        tracker.indexFirstBatches(records);
        const stored: ResultRecord[] = [];
        const writer = new ResultWriter({
          storeResult: (result) => stored.push(result),
          storeCompleteText: () => {},
        });
        writer.reuseResult(waiting, records);
        const { partial } = tracker.outputOf(waiting, records);
        const texts = [
          ...stored.map(({ result }) => result.text),
          ...partial.map(({ text }) => text),
        ];
        for (const text of texts) expect(text).toBe(`text of ${workspace}`);
        expect(tracker.progressOf(waiting).failedRuns)
          .toBe(failures[workspace]);
        if (action === "save") {
          tracker.savePartialText(waiting, textOf(workspace));
        } else if (action === "fail") {
          tracker.progressOf(waiting).failedRuns += 1;
          failures[workspace] += 1;
        } else if (action === "store") {
          record.appendPartialText({
            batch: record.spec.id,
            item: item.id,
            after: 0,
            pieces: [`text of ${workspace}`],
            versions: [1],
            software: "v1",
          });
        } else {
          record.addResult({
            id: item.id,
            state: "completed",
            text: `text of ${workspace}`,
            versions: [1],
          });
        }
      }
    }));
  });
});

import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import {
  type BatchCommand,
  BatchDrain,
  BatchState,
} from "../../core/batches/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import type { BatchRunner } from "./batch_runner.ts";
import { LedgerObserver } from "./ledger_observer.ts";
import type { ResultReader } from "./result_reader.ts";

const spec = createSpec({
  items: ["a1", "a2", "a3"].map((id) => createItem(id, { expectedTokens: 10 })),
});
const accept: BatchCommand = { type: "accept", spec };

function listed(id: string, state: "completed" | "abandoned"): BatchCommand {
  const result = { id, state, text: "", versions: [] };
  return { type: "list", records: [{ batch: spec.id, result }] };
}

/** Work that stays counted after its end would get other batches refused. */
describe(`${LedgerObserver.name} and the work that is open`, () => {
  function doTest(commands: readonly BatchCommand[], expected: number) {
    const state = new BatchState();
    const drain = new BatchDrain().start([], 0);
    const observer = new LedgerObserver({
      state: () => state,
      runner: {
        admission: { drain },
        schedulePlacement: () => {},
        onBatchEnded: () => {},
        onResultStored: () => {},
      } as unknown as BatchRunner,
      reader: { wake: () => {} } as unknown as ResultReader,
      logger: new Logger({ instance: "test", level: "error" }),
      metrics: new Metrics({ tags: {} }),
      isLeader: () => true,
    });
    for (const command of commands) {
      state.apply(command);
      observer.onApplied(command);
    }
    expect(drain.openTokens("s")).toBe(expected);
  }

  it("counts accepted batches once", () => doTest([accept, accept], 30));

  it("counts no items that are completed or abandoned", () =>
    doTest([accept, listed("a1", "completed"), listed("a2", "abandoned")], 10));

  it("counts no batches that have ended", () =>
    doTest([accept, { type: "end", batch: spec.id }], 0));

  it("counts no batches that are deleted", () =>
    doTest([accept, { type: "forget", batches: [spec.id] }], 0));
});

import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { BatchState, ResultState } from "../../core/batches/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { ResultReader } from "./result_reader.ts";

const READ = { workspace: "w", batch: "b", after: 0, waitMs: 0 };

describe(ResultReader.name, () => {
  function createState(results: number): BatchState {
    const state = new BatchState();
    const items = ["a1", "a2"].map((id) => createItem(id));
    state.apply({ type: "accept", spec: createSpec({ items }) });
    for (const { id } of items.slice(0, results)) storeResult(state, id);
    return state;
  }

  function storeResult(state: BatchState, id: string): void {
    const result = {
      id,
      state: ResultState.Completed,
      text: "x",
      versions: [1],
    };
    state.apply({ type: "list", records: [{ batch: "b", result, after: 0 }] });
  }

  /** Creates the reader of a replica that does not lead. */
  function createReader(state: BatchState): ResultReader {
    return new ResultReader({
      state: () => state,
      confirmLeadership: () =>
        Promise.reject(
          new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun),
        ),
    });
  }

  it("does not read as a leader that a quorum no longer follows", async () => {
    const reader = createReader(createState(2));
    await expect(reader.read(READ)).rejects.toThrow(RefusalError);
  });

  it("reads stored results without leading", async () => {
    const page = await createReader(createState(1)).readStored(READ);
    expect(page).toMatchObject({ total: 2, next: 1 });
  });

  it("knows nothing of results that it may lack", async () => {
    const reader = createReader(createState(1));
    expect(await reader.readStored({ ...READ, after: 1 })).toBeUndefined();
    expect(await reader.readStored({ ...READ, batch: "c" })).toBeUndefined();
  });

  it("shows no results to another workspace", async () => {
    const reader = createReader(createState(1));
    expect(await reader.readStored({ ...READ, workspace: "other" }))
      .toBeUndefined();
  });

  it("waits for the next result", async () => {
    const state = createState(0);
    const reader = createReader(state);
    const reading = reader.readStored({ ...READ, waitMs: 10_000 });
    storeResult(state, "a1");
    reader.wake("b");
    expect(await reading).toMatchObject({ next: 1 });
  });
});

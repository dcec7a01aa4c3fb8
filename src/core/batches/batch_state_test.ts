import { describe, expect, it } from "vitest";
import {
  commandsOf,
  itemsOf,
  textOf,
} from "../../../tests/support/ledger_group.ts";
import { BatchState } from "./batch_state.ts";
import { detachTexts } from "./ledger_snapshot.ts";

const BATCH = "b-0";

describe(BatchState.name, () => {
  function createState(): BatchState {
    const state = new BatchState();
    for (const command of commandsOf(BATCH)) state.apply(command);
    return state;
  }

  const detached = () => detachTexts(createState().save());

  // Guards against copies of texts that are given up for a snapshot without them.
  function doTestAttach(
    state: BatchState,
    pending: Parameters<BatchState["attach"]>[1],
  ) {
    const restored = new BatchState().load(state.attach(detached(), pending));
    expect(restored.missingBytes).toBe(0);
    expect(restored.get(BATCH)?.results.map(({ text }) => text))
      .toEqual(itemsOf().map((item) => textOf(BATCH, item)));
  }

  it("keeps the texts that it has", () => doTestAttach(createState(), []));
  it("keeps the texts of entries that it has not applied", () =>
    doTestAttach(new BatchState(), commandsOf(BATCH)));

  it("lacks the texts of a snapshot that are another's", () => {
    const other = new BatchState();
    for (const command of commandsOf("b-1")) other.apply(command);
    const restored = new BatchState().load(other.attach(detached(), []));
    expect(restored.isPartial).toBe(true);
    expect(restored.getMissing(Infinity, new Set())).toHaveLength(
      itemsOf().length,
    );
  });
});

import { Packr } from "msgpackr";
import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { ResultState } from "./batch.ts";
import type { BatchCommand } from "./batch_command.ts";
import { BatchState } from "./batch_state.ts";
import { holdCommand } from "./held_command.ts";
import { LEDGER_SNAPSHOT_DIVIDER } from "./ledger_snapshot.ts";

const LONG = "piece é ".repeat(40);

describe(holdCommand.name, () => {
  const packr = new Packr({ useRecords: false });
  const copyOf = (value: unknown) => packr.unpack(packr.pack(value));

  /** Checks that a command is encoded and applied as the plain one. */
  function doTest(commands: readonly BatchCommand[]) {
    const plain = new BatchState();
    const held = new BatchState();
    for (const command of commands) {
      const holding = holdCommand(command);
      expect(copyOf(holding)).toEqual(copyOf(command));
      expect(holdCommand(holding)).toEqual(holding);
      plain.apply(command);
      held.apply(holding);
    }
    const saved = copyOf(held.save());
    expect(saved).toEqual(copyOf(plain.save()));
    expect(copyOf(new BatchState().load(saved).save())).toEqual(saved);
    const { split, join, hold } = LEDGER_SNAPSHOT_DIVIDER;
    const parts = split(held.save()).map((part) => hold?.(copyOf(part)));
    expect(copyOf(join(parts))).toEqual(saved);
    expect(held.bytes).toBe(plain.bytes);
    return held.get("b")!;
  }

  const accept: BatchCommand = {
    type: "accept",
    spec: createSpec({
      items: ["i-0", "i-1", "i-2"]
        .map((id) => createItem(id, { body: Buffer.from(`body of ${id}`) })),
    }),
  };

  it("keeps short and long results with their scores", () => {
    const record = doTest([accept, {
      type: "list",
      records: [
        ["i-0", "", undefined],
        ["i-1", "short", "1.5"],
        ["i-2", LONG, undefined],
      ].map(([id, text, score]) => ({
        batch: "b",
        result: {
          id: id!,
          state: ResultState.Completed,
          text: text!,
          versions: [1],
          ...(score === undefined ? {} : { score }),
        },
      })),
    }]);
    expect(record.results.map(({ text }) => text)).toEqual(["", "short", LONG]);
  });

  it("keeps the pieces of outputs, of which some have newlines or none", () => {
    const keep = (after: number, pieces: string[]): BatchCommand => ({
      type: "keep",
      records: [{ batch: "b", item: "i-0", after, pieces, versions: [1] }],
    });
    const record = doTest([
      accept,
      keep(0, ["", "a\nb", LONG]),
      keep(3, ["c", ""]),
    ]);
    expect(record.getPartialText("i-0")?.pieces)
      .toEqual(["", "a\nb", LONG, "c", ""]);
    const state = ResultState.Completed;
    record.addResult({ id: "i-0", state, text: "d", versions: [1] }, 4);
    expect(record.getResult("i-0")?.text).toBe(`\na\nb\n${LONG}\nc\nd`);
  });
});

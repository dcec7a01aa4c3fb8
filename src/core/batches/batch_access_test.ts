import { describe, expect, it } from "vitest";
import { NO_WORKSPACE } from "../policy/mod.ts";
import { mayOpen } from "./batch_access.ts";

describe(mayOpen.name, () => {
  function doTest(owner: string, caller: string, expected: boolean) {
    expect(mayOpen(owner, caller)).toBe(expected);
  }

  it("opens a batch to its workspace alone", () => {
    doTest("zoo", "zoo", true);
    doTest("zoo", "park", false);
    doTest("zoo", NO_WORKSPACE, false);
  });

  // Guards against accepted batches that nobody can read or end.
  it("opens a batch without an owner to all who know its identifier", () => {
    doTest(NO_WORKSPACE, NO_WORKSPACE, true);
    doTest(NO_WORKSPACE, "zoo", true);
  });
});

import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { BatchRecord } from "./batch_record.ts";
import { PromptLocations } from "./prompt_locations.ts";

describe(PromptLocations.name, () => {
  const record = new BatchRecord(createSpec());
  const memberOf = (group: string) => ({
    record,
    item: createItem("i", { group }),
  });

  function doTest(
    prompts: PromptLocations,
    query: { group: string; now: number },
    expected: readonly string[],
  ) {
    const targets = prompts.targetsOf(memberOf(query.group), query.now);
    expect([...targets]).toEqual(expected);
  }

  it("tracks the targets of a group for a while after its runs", () => {
    const prompts = new PromptLocations().add(memberOf("g"), "x", 0);
    doTest(prompts, { group: "g", now: 10_000 }, ["x"]);
    doTest(prompts, { group: "h", now: 10_000 }, []);
    doTest(prompts, { group: "g", now: 30_000 }, []);
  });

  it("removes a target that has refused the prompt", () => {
    const prompts = new PromptLocations().add(memberOf("g"), "x", 0);
    doTest(prompts.remove(memberOf("g"), "x"), { group: "g", now: 1 }, []);
  });

  it("evicts the oldest of many groups", () => {
    const prompts = new PromptLocations();
    for (let i = 0; i < 5_000; i += 1) prompts.add(memberOf(`g${i}`), "x", 0);
    doTest(prompts, { group: "g0", now: 1 }, []);
    doTest(prompts, { group: "g4999", now: 1 }, ["x"]);
  });
});

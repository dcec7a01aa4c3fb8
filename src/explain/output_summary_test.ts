import { describe, expect, it } from "vitest";
import { EVENT_CATALOGUE, type EventName } from "../logging/mod.ts";
import { type OutputSummary, summarizeOutputs } from "./output_summary.ts";

describe(summarizeOutputs.name, () => {
  function doTest(
    lines: readonly (readonly [EventName, Readonly<Record<string, unknown>>])[],
    expected: Partial<OutputSummary>,
  ) {
    const texts = lines.map(([name, fields]) =>
      `e1 ${JSON.stringify({ event: EVENT_CATALOGUE[name].number, ...fields })}`
    );
    expect(summarizeOutputs([...texts, "no line of an instance"]))
      .toMatchObject(expected);
  }

  it("counts outputs that went on, and at which version", () =>
    doTest([
      ["itemPlaced", { resumeAfter: 0, software: "v1" }],
      ["itemPlaced", {
        resumeAfter: 3,
        software: "v1",
        resumedSoftware: "v1",
      }],
      ["itemPlaced", { resumeAfter: 3, software: "v2", resumedSoftware: "v1" }],
      ["callPlaced", { software: "v1", resumedSoftware: "v1" }],
      ["callPlaced", { software: "v1" }],
    ], { resumedItems: 2, resumedStreams: 1, otherVersion: 1 }));

  it("takes no unknown version for the same", () =>
    doTest([["itemPlaced", { resumeAfter: 3 }]], { otherVersion: 1 }));

  it("counts what restarted, and what it cost", () =>
    doTest(
      [["itemBegunAnew", { droppedEvents: 4 }], ["itemBegunAnew", {
        droppedEvents: 5,
      }]],
      { begunAnew: 2, droppedEvents: 9 },
    ));

  it("counts streams that could not be resumed", () =>
    doTest([
      ["callRefused", { reason: "streamStranded" }],
      ["callRefused", { reason: "streamUnknown" }],
      ["callRefused", { reason: "noTarget" }],
    ], { strandedStreams: 1, unknownStreams: 1 }));
});

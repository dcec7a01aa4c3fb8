import { describe, expect, it } from "vitest";
import { RefusedInputs } from "./refused_inputs.ts";

describe(RefusedInputs.name, () => {
  function doTest(senders: readonly string[], expected: readonly string[]) {
    const logged: unknown[] = [];
    let count = 0;
    const refused = new RefusedInputs({
      logger: {
        event: (_name, fields) => logged.push(fields?.sender) as never,
      },
      metrics: { count: () => (count += 1) as never },
      event: "peerInputRefused",
      metric: "peers.refusedInputs",
    });
    for (const sender of senders) refused.record(sender, "reason");
    expect(logged).toEqual(expected);
    expect(count).toBe(senders.length);
  }

  it("logs each sender once, and counts every refusal", () =>
    doTest(["a", "b", "a", "a"], ["a", "b"]));
});

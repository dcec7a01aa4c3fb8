import { describe, expect, it } from "vitest";
import { untilTargetsKnown } from "./targets_wait.ts";

describe(untilTargetsKnown.name, () => {
  /** Waits with a limit that fails the test unless the list comes or is there. */
  async function doTest(isKnown: boolean, timeoutMs: number) {
    const targetsSeen: Record<string, { life: string; change: number }> = {};
    const add = () => {
      targetsSeen.c1 = { life: "1", change: 0 };
    };
    if (isKnown) add();
    const waited = untilTargetsKnown({ targetsSeen }, timeoutMs);
    if (!isKnown && timeoutMs === Infinity) setTimeout(add, 50);
    await waited;
    expect(Object.keys(targetsSeen).length).toBe(timeoutMs === 0 ? 0 : 1);
  }

  it("does not wait if the targets are known", () => doTest(true, Infinity));

  it("ends as soon as they are known", () => doTest(false, Infinity));

  it("ends without them if none come in time", () => doTest(false, 0));
});

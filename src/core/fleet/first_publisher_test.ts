import { describe, expect, it } from "vitest";
import { isFirstPublisher } from "./first_publisher.ts";

const CONTROLS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
const FOLLOWERS = Array.from({ length: 60 }, (_, i) => `10.1.0.${i}`);

describe(isFirstPublisher.name, () => {
  /** Gets the number of followers that each control instance tells first. */
  function doTest(heard: readonly string[], lost: readonly string[] = []) {
    const counts = CONTROLS.map(() => 0);
    for (const follower of FOLLOWERS) {
      CONTROLS.forEach((self, i) => {
        if (lost.includes(self)) return;
        const isLinked = (control: string) => !lost.includes(control);
        const isFirst = isFirstPublisher({ self, follower, heard, isLinked });
        if (isFirst) counts[i] += 1;
      });
    }
    return counts;
  }

  it("names one of the control instances for each follower, evenly", () => {
    const counts = doTest(CONTROLS);
    expect(counts.reduce((a, b) => a + b)).toBe(FOLLOWERS.length);
    for (const count of counts) expect(count).toBeGreaterThan(10);
  });

  it("passes over control instances that are lost", () => {
    const [first, second, lost] = doTest(CONTROLS, [CONTROLS[2]]);
    expect(first + second).toBe(FOLLOWERS.length);
    expect(lost).toBe(0);
  });

  it("names all for a follower that has heard of none of them", () =>
    expect(doTest([])).toEqual([60, 60, 60]));
});

import { describe, expect, it } from "vitest";
import { assignProber } from "./prober_assignment.ts";

describe(assignProber.name, () => {
  const instances = ["a", "b", "c", "d"];
  const targets = Array.from({ length: 400 }, (_, i) => `t${i}`);

  it("distributes targets about evenly", () => {
    for (const instance of instances) {
      const own = targets.filter((t) =>
        assignProber(t, instances) === instance
      );
      expect(own.length).toBeGreaterThan(60);
    }
  });

  it("reassigns only the targets of an instance that left", () => {
    const remaining = instances.filter((instance) => instance !== "b");
    for (const target of targets) {
      const before = assignProber(target, instances);
      if (before !== "b") expect(assignProber(target, remaining)).toBe(before);
    }
  });

  it("returns undefined without instances", () =>
    expect(assignProber("t", [])).toBeUndefined());
});

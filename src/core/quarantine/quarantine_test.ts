import { describe, expect, it } from "vitest";
import { Quarantine } from "./quarantine.ts";

describe(Quarantine.name, () => {
  it("suspects all requests of a dead target and clears completed ones", () => {
    const quarantine = new Quarantine();
    quarantine.onTargetDied(["bad", "good"]);
    expect(quarantine.suspicionOf("good")).toBe("suspect");
    quarantine.onFinished("good");
    expect(quarantine.suspicionOf("good")).toBe("clear");
    expect(quarantine.suspicionOf("bad")).toBe("suspect");
  });

  it("treats a second death while alone as proof", () => {
    const quarantine = new Quarantine();
    quarantine.onTargetDied(["bad", "good"]);
    quarantine.onTargetDied(["bad"]);
    expect(quarantine.suspicionOf("bad")).toBe("proven");
    expect(quarantine.onFinished("bad")).toBeUndefined();
  });

  it("does not treat one death while alone as proof", () => {
    const quarantine = new Quarantine();
    quarantine.onTargetDied(["unlucky"]);
    expect(quarantine.suspicionOf("unlucky")).toBe("suspect");
  });

  it("treats three deaths beside other requests as proof", () => {
    const quarantine = new Quarantine();
    for (let i = 0; i < 3; i += 1) quarantine.onTargetDied(["bad", `n${i}`]);
    expect(quarantine.suspicionOf("bad")).toBe("proven");
  });

  it("adds up deaths that instances saw before they received each other's", () => {
    const instances = [new Quarantine(), new Quarantine(), new Quarantine()];
    const changes = instances.flatMap((instance, i) =>
      instance.onTargetDied(["bad", `n${i}`], `t${i}/1`)
    );
    for (const instance of instances) {
      for (const change of changes) instance.merge(change);
      expect(instance.suspicionOf("bad")).toBe("proven");
      expect(instance.suspicionOf("n1")).toBe("suspect");
    }
  });

  it("does not clear a suspicion that another instance has proven", () => {
    const quarantine = new Quarantine();
    quarantine.merge({ fingerprint: "f", suspicion: "proven", deaths: 2 });
    quarantine.merge({ fingerprint: "f", suspicion: "clear", deaths: 0 });
    expect(quarantine.suspicionOf("f")).toBe("proven");
  });

  describe("deaths reported by several instances", () => {
    function doTest(
      deaths: readonly (readonly [target: string, at: number])[],
      check: (quarantine: Quarantine) => void,
    ) {
      const quarantine = new Quarantine();
      for (const [target, at] of deaths) {
        quarantine.recordDeath({ fingerprint: "f", target, at });
      }
      const saved = structuredClone(quarantine.save());
      check(quarantine);
      check(new Quarantine().load(saved));
    }

    it("counts each incarnation of a target once", () =>
      doTest([["a/1", 0], ["a/1", 5], ["b/1", 9]], (quarantine) => {
        expect(quarantine.suspicionOf("f")).toBe("suspect");
        expect(quarantine.takeTrial("f", 1e9)).toBe(false);
      }));

    it("proves a request by three targets and grants one trial run", () =>
      doTest([["a/1", 0], ["a/2", 0], ["b/1", 1_000]], (quarantine) => {
        expect(quarantine.suspicionOf("f")).toBe("proven");
        expect(quarantine.takeTrial("f", 30_999)).toBe(false);
        expect(quarantine.takeTrial("f", 31_000)).toBe(true);
        expect(quarantine.takeTrial("f", 31_000)).toBe(false);
        expect(quarantine.takeTrial("f", 331_000)).toBe(true);
      }));

    it("releases a proven request whose trial run has completed", () =>
      doTest([["a/1", 0], ["b/1", 0], ["c/1", 0]], (quarantine) => {
        expect(quarantine.release("f")?.suspicion).toBe("clear");
        expect(quarantine.suspicionOf("f")).toBe("clear");
        expect(quarantine.release("f")).toBeUndefined();
      }));
  });
});

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

  it("does not clear a suspicion that another instance has proven", () => {
    const quarantine = new Quarantine();
    quarantine.merge({ fingerprint: "f", suspicion: "proven", deaths: 2 });
    quarantine.merge({ fingerprint: "f", suspicion: "clear", deaths: 0 });
    expect(quarantine.suspicionOf("f")).toBe("proven");
  });
});

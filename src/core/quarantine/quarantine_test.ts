import { describe, expect, it } from "vitest";
import { Quarantine } from "./quarantine.ts";

describe(Quarantine.name, () => {
  it("suspects all that ran on a dead target and clears who finishes", () => {
    const quarantine = new Quarantine();
    quarantine.onTargetDied(["bad", "good"]);
    expect(quarantine.suspicionOf("good")).toBe("suspect");
    quarantine.onFinished("good");
    expect(quarantine.suspicionOf("good")).toBe("clear");
    expect(quarantine.suspicionOf("bad")).toBe("suspect");
  });

  it("takes a second death while alone as proof", () => {
    const quarantine = new Quarantine();
    quarantine.onTargetDied(["bad", "good"]);
    quarantine.onTargetDied(["bad"]);
    expect(quarantine.suspicionOf("bad")).toBe("proven");
    expect(quarantine.onFinished("bad")).toBeUndefined();
  });

  it("does not take one death while alone as proof", () => {
    const quarantine = new Quarantine();
    quarantine.onTargetDied(["unlucky"]);
    expect(quarantine.suspicionOf("unlucky")).toBe("suspect");
  });

  it("refuses after three deaths in any company", () => {
    const quarantine = new Quarantine();
    for (let i = 0; i < 3; i += 1) quarantine.onTargetDied(["bad", `n${i}`]);
    expect(quarantine.suspicionOf("bad")).toBe("proven");
  });

  it("keeps proof that came from another instance", () => {
    const quarantine = new Quarantine();
    quarantine.merge({ fingerprint: "f", suspicion: "proven", deaths: 2 });
    quarantine.merge({ fingerprint: "f", suspicion: "clear", deaths: 0 });
    expect(quarantine.suspicionOf("f")).toBe("proven");
  });
});

/** Several instances over real processes, files and links. */
import { afterEach, describe, expect, it } from "vitest";
import { ClusterCase } from "./support/cluster_case.ts";

describe("several instances", () => {
  const current = new ClusterCase();
  afterEach(() => current.stop());

  it("serve home workspaces while cut off, and tell the truth", async () => {
    const on = await current.start();
    await current.startEngine(["c", "d", "a"].map((id) => on.of(id).url));
    await on.until(async () =>
      (await on.status("c")).targets.length > 0 || undefined
    );
    on.cutter.cut("c", ["a", "b", "e"]);
    on.cutter.cut("d", ["a", "b", "e"]);
    const inside = on.of("d").url;
    await on.until(async () =>
      (await on.status("d")).hasLease ? undefined : true
    );
    expect(await current.ask(inside, "blijdorp")).toEqual({ status: 200 });
    expect(await current.ask(inside, "artis")).toEqual({
      status: 503,
      code: "dataCentreFenced",
    });
    const outside = await on.leader(["c"]);
    const foreign = await on.until(async () => {
      const answer = await on.operator(outside, "keys/artis-1", {
        method: "DELETE",
      });
      return answer.answer === "accepted" ? answer : undefined;
    });
    expect(foreign.awaited).toEqual([]);
    const home = await on.operator(outside, "keys/blijdorp-1", {
      method: "DELETE",
    });
    expect(home.answer).toBe("pending");
    expect(home.awaited).toContain("nl-2");
    expect(await current.ask(inside, "artis")).toMatchObject({ status: 503 });
    on.cutter.mend();
    await on.until(async () => {
      const answer = await on.operator(outside, "keys/blijdorp-1", {
        method: "DELETE",
      });
      return answer.answer === "accepted" || undefined;
    });
    expect(await current.ask(inside, "blijdorp")).toEqual({
      status: 401,
      code: "keyWithdrawn",
    });
  });
});

/** Network partitions between the data centres of a cluster. */
import { afterEach, describe, expect, it } from "vitest";
import { ClusterFixture } from "./support/cluster_fixture.ts";

describe("partitioned data centre", () => {
  const fixture = new ClusterFixture();
  afterEach(() => fixture.stop());

  it("serves its home workspaces only, and applies withdrawn keys later", async () => {
    const cluster = await fixture.start();
    await fixture.startEngine(
      ["c", "d", "a"].map((id) => cluster.getInstanceOrThrow(id).url),
    );
    await cluster.waitUntil(async () =>
      (await cluster.status("c")).targets.length > 0 || undefined
    );
    cluster.relays.cut("c", ["a", "b", "e"]);
    cluster.relays.cut("d", ["a", "b", "e"]);
    const isolatedUrl = cluster.getInstanceOrThrow("d").url;
    await cluster.waitUntil(async () =>
      (await cluster.status("d")).hasLease ? undefined : true
    );
    expect(await fixture.sendChatRequest(isolatedUrl, "blijdorp")).toEqual({
      status: 200,
    });
    expect(await fixture.sendChatRequest(isolatedUrl, "artis")).toEqual({
      status: 503,
      code: "dataCentreFenced",
    });
    const leader = await cluster.leader(["c"]);
    const foreignWithdrawal = await cluster.waitUntil(async () => {
      const response = await cluster.sendOperatorRequest(
        leader,
        "keys/artis-1",
        {
          method: "DELETE",
        },
      );
      return response.answer === "accepted" ? response : undefined;
    });
    expect(foreignWithdrawal.awaited).toEqual([]);
    const homeWithdrawal = await cluster.sendOperatorRequest(
      leader,
      "keys/blijdorp-1",
      {
        method: "DELETE",
      },
    );
    expect(homeWithdrawal.answer).toBe("pending");
    expect(homeWithdrawal.awaited).toContain("nl-2");
    expect(await fixture.sendChatRequest(isolatedUrl, "artis")).toMatchObject({
      status: 503,
    });
    cluster.relays.heal();
    await cluster.waitUntil(async () => {
      const response = await cluster.sendOperatorRequest(
        leader,
        "keys/blijdorp-1",
        {
          method: "DELETE",
        },
      );
      return response.answer === "accepted" || undefined;
    });
    expect(await fixture.sendChatRequest(isolatedUrl, "blijdorp")).toEqual({
      status: 401,
      code: "keyWithdrawn",
    });
  });
});

/** Configuration changes on a cluster of real processes. */
import { afterEach, describe, expect, it } from "vitest";
import {
  type ClusterDocument,
  ClusterFixture,
  INSTANCE_IDS,
} from "./support/cluster_fixture.ts";

describe("configuration changes on a cluster", () => {
  const fixture = new ClusterFixture();
  afterEach(() => fixture.stop());

  it("are applied on every instance once they are accepted", async () => {
    const cluster = await fixture.start();
    for (const [i, id] of INSTANCE_IDS.entries()) {
      const response = await fixture.submitChange(id, 2 + i);
      expect(response.answer).toBe("accepted");
      const states = await Promise.all(
        INSTANCE_IDS.map((other) => cluster.status(other)),
      );
      for (const { revision } of states) {
        expect(revision).toBeGreaterThanOrEqual(Number(response.revision));
      }
    }
  });

  it("survive a kill of the leader once they are accepted", async () => {
    const cluster = await fixture.start();
    await fixture.waitUntilBackedUp();
    const leader = await cluster.leader();
    const { sections } = await cluster.sendOperatorRequest(
      leader,
      "config",
    ) as {
      sections: Record<string, number>;
    };
    const body = fixture.createChange(sections.workspaces, 7);
    const pendingChange = cluster.sendOperatorRequest(leader, "config", {
      method: "POST",
      body,
    })
      .catch(() => undefined);
    cluster.getInstanceOrThrow(leader).child.kill("SIGKILL");
    const firstResponse = await pendingChange;
    const others = INSTANCE_IDS.filter((id) => id !== leader);
    const newLeader = await cluster.leader([leader]);
    expect(newLeader).not.toBe(leader);
    const response = await fixture.submitChange(newLeader, 8);
    if (firstResponse?.answer === "accepted") {
      expect(Number(response.revision)).toBeGreaterThan(
        Number(firstResponse.revision),
      );
    }
    await cluster.startInstance(leader);
    await cluster.waitUntil(async () => {
      const { revision, hasLease } = await cluster.status(leader);
      return hasLease && revision >= Number(response.revision) || undefined;
    });
    const final = await cluster.sendOperatorRequest(others[0], "config") as {
      document: ClusterDocument;
    };
    expect(final.document.workspaces.burgers).toEqual({ weight: 8 });
  });
});

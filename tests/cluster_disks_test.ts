/** Lost disks and paused leaders on a cluster of real processes. */
import { afterEach, describe, expect, it } from "vitest";
import { ClusterFixture } from "./support/cluster_fixture.ts";
import { waitUntilRepaired } from "./support/until_repaired.ts";

describe("cluster", () => {
  const fixture = new ClusterFixture();
  afterEach(() => fixture.stop());

  it("survives the loss of a disk and then of a second one", async () => {
    const cluster = await fixture.start();
    const response = await fixture.submitChange("a", 5);
    for (const lost of ["c", "e"]) {
      cluster.getInstanceOrThrow(lost).child.kill("SIGKILL");
      await cluster.getInstanceOrThrow(lost).waitForExit();
      cluster.loseDisk(lost);
      await cluster.startInstance(lost);
      await waitUntilRepaired(cluster, lost);
    }
    const { revision } = await cluster.status("e");
    expect(revision).toBeGreaterThanOrEqual(Number(response.revision));
    expect((await fixture.submitChange("e", 6)).answer).toBe("accepted");
  });

  it("demotes a leader that was paused for longer than its lease", async () => {
    const cluster = await fixture.start();
    await fixture.waitUntilBackedUp();
    const leader = await cluster.leader();
    cluster.getInstanceOrThrow(leader).child.kill("SIGSTOP");
    const newLeader = await cluster.leader([leader]);
    const response = await fixture.submitChange(newLeader, 9);
    cluster.getInstanceOrThrow(leader).child.kill("SIGCONT");
    const status = await cluster.waitUntil(async () => {
      const current = await cluster.status(leader);
      const isCaughtUp = current.revision >= Number(response.revision);
      return isCaughtUp ? current : undefined;
    });
    expect(status.log?.role).toBe("follower");
  });
});

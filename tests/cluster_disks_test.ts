/** Several instances over real processes, files and links. */
import { afterEach, describe, expect, it } from "vitest";
import { ClusterCase } from "./support/cluster_case.ts";
import { untilRepaired } from "./support/until_repaired.ts";

describe("several instances", () => {
  const current = new ClusterCase();
  afterEach(() => current.stop());

  it("survive a lost disk and then a second one", async () => {
    const on = await current.start();
    const answer = await current.change("a", 5);
    for (const lost of ["c", "e"]) {
      on.of(lost).child.kill("SIGKILL");
      await on.of(lost).ended();
      on.loseDisk(lost);
      await on.startOne(lost);
      await untilRepaired(on, lost);
    }
    const { revision } = await on.status("e");
    expect(revision).toBeGreaterThanOrEqual(Number(answer.revision));
    expect((await current.change("e", 6)).answer).toBe("accepted");
  });

  it("take no orders of a leader that was stopped past its lease", async () => {
    const on = await current.start();
    await current.untilBackedUp();
    const leader = await on.leader();
    on.of(leader).child.kill("SIGSTOP");
    const next = await on.leader([leader]);
    const answer = await current.change(next, 9);
    on.of(leader).child.kill("SIGCONT");
    const status = await on.until(async () => {
      const found = await on.status(leader);
      const isCurrent = found.revision >= Number(answer.revision);
      return isCurrent ? found : undefined;
    });
    expect(status.log?.role).toBe("follower");
  });
});

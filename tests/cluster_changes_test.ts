/** Several instances over real processes, files and links. */
import { afterEach, describe, expect, it } from "vitest";
import {
  ALL,
  ClusterCase,
  type ClusterDocument,
} from "./support/cluster_case.ts";

describe("several instances", () => {
  const current = new ClusterCase();
  afterEach(() => current.stop());

  it("have a change in force everywhere once it is accepted", async () => {
    const on = await current.start();
    for (const [i, id] of ALL.entries()) {
      const answer = await current.change(id, 2 + i);
      expect(answer.answer).toBe("accepted");
      const states = await Promise.all(ALL.map((other) => on.status(other)));
      for (const { revision } of states) {
        expect(revision).toBeGreaterThanOrEqual(Number(answer.revision));
      }
    }
  });

  it("lose no accepted change when their leader is killed", async () => {
    const on = await current.start();
    await current.untilBackedUp();
    const leader = await on.leader();
    const { sections } = await on.operator(leader, "config") as {
      sections: Record<string, number>;
    };
    const body = current.changeOf(sections.workspaces, 7);
    const running = on.operator(leader, "config", { method: "POST", body })
      .catch(() => undefined);
    on.of(leader).child.kill("SIGKILL");
    const first = await running;
    const others = ALL.filter((id) => id !== leader);
    const next = await on.leader([leader]);
    expect(next).not.toBe(leader);
    const answer = await current.change(next, 8);
    if (first?.answer === "accepted") {
      expect(Number(answer.revision)).toBeGreaterThan(Number(first.revision));
    }
    await on.startOne(leader);
    await on.until(async () => {
      const { revision, hasLease } = await on.status(leader);
      return hasLease && revision >= Number(answer.revision) || undefined;
    });
    const final = await on.operator(others[0], "config") as {
      document: ClusterDocument;
    };
    expect(final.document.workspaces.burgers).toEqual({ weight: 8 });
  });
});

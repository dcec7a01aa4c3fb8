/** Several instances over real processes, files and links. */
import { afterEach, describe, expect, it } from "vitest";
import { FakeTrainer } from "../fakes/trainer.ts";
import { keyOf } from "./support/deployment.ts";
import { CHAT, ClusterFixture } from "./support/cluster_fixture.ts";

describe("several instances", () => {
  const fixture = new ClusterFixture();
  afterEach(() => fixture.stop());

  it("deliver a step once through the loss of its primary", async () => {
    const cluster = await fixture.start();
    const localIds = ["a", "b"];
    await fixture.startEngine(
      localIds.map((id) => cluster.getInstanceOrThrow(id).url),
    );
    const trainer = new FakeTrainer({
      entries: localIds.map((id) => cluster.getInstanceOrThrow(id).url),
      key: keyOf("artis"),
    });
    const view = await cluster.waitUntil(async () => {
      const found = (await cluster.status("a")).view;
      return found?.backups.length === 1 ? found : undefined;
    });
    const primary = view.primary.split("#")[0];
    let isKilled = false;
    await trainer.run({
      id: "s1",
      route: "planner",
      groups: Array.from({ length: 20 }, (_, i) => ({
        id: `g${i}`,
        samples: 10,
        body: { messages: CHAT.messages, n: i },
      })),
    }, (delivered) => {
      if (delivered < 40 || isKilled) return;
      isKilled = true;
      cluster.getInstanceOrThrow(primary).child.kill("SIGKILL");
    });
    expect(isKilled).toBe(true);
    expect(trainer.count).toEqual({
      expected: 200,
      delivered: 200,
      duplicates: 0,
      lost: 0,
      unversioned: 0,
      stale: 0,
    });
  });
});

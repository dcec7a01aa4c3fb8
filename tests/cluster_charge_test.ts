/** Tasks of the control leader: usage reports and rollouts of weights. */
import { afterEach, describe, expect, it } from "vitest";
import { FakePlatform } from "../fakes/platform.ts";
import { FakeTrainer } from "../fakes/trainer.ts";
import { CHAT, ClusterFixture } from "./support/cluster_fixture.ts";
import { keyOf } from "./support/deployment.ts";

describe("control leader", () => {
  const fixture = new ClusterFixture();
  let platform: FakePlatform | undefined;
  afterEach(async () => {
    await fixture.stop();
    platform?.stop();
  });

  it("reports each usage window once over lost responses and a takeover", async () => {
    platform = new FakePlatform({ checksFencing: false, responseLoss: 0.5 });
    const url = await platform.start();
    const cluster = await fixture.start({
      platform: { usageUrl: `${url}/usage` },
      usage: { windowMs: 2_000, sealDelayMs: 200 },
    });
    await fixture.startEngine(
      ["a", "b"].map((id) => cluster.getInstanceOrThrow(id).url),
    );
    await cluster.waitUntil(async () =>
      (await cluster.status("a")).targets.length > 0 || undefined
    );
    const { receivedMessages } = platform;
    const callUntilWindowsReported = async (count: number) => {
      await cluster.waitUntil(async () => {
        await fixture.sendChatRequest(
          cluster.getInstanceOrThrow("b").url,
          "artis",
        );
        const windows = new Set(receivedMessages.map((message) => message.id));
        return windows.size >= count || undefined;
      });
    };
    await callUntilWindowsReported(2);
    const leader = await cluster.leader();
    cluster.getInstanceOrThrow(leader).child.kill("SIGSTOP");
    await cluster.leader([leader]);
    if (leader !== "a") await callUntilWindowsReported(4);
    cluster.getInstanceOrThrow(leader).child.kill("SIGCONT");
    await callUntilWindowsReported(5);
    const bodies = new Map<string, string>();
    let term = 0;
    for (const message of receivedMessages) {
      expect(bodies.get(message.id) ?? message.body).toBe(message.body);
      bodies.set(message.id, message.body);
      expect(message.term).toBeGreaterThanOrEqual(term);
      term = message.term;
    }
    const figures = [...bodies.values()].flatMap((body) =>
      JSON.parse(body).figures as { requests: number }[]
    );
    const reportedRequests = figures.reduce((sum, f) => sum + f.requests, 0);
    expect(reportedRequests).toBeGreaterThan(0);
  });

  it("rolls out new weights to the targets and delivers fresh samples", async () => {
    const cluster = await fixture.start();
    const urls = ["a", "b"].map((id) => cluster.getInstanceOrThrow(id).url);
    const engine = await fixture.startEngine(urls);
    const trainer = new FakeTrainer({ entries: urls, key: keyOf("artis") });
    for (const version of [2, 3, 4]) {
      await trainer.announce("planner", version);
      const samples = await trainer.run({
        id: `s${version}`,
        route: "planner",
        groups: [{ id: "g", samples: 4, body: { messages: CHAT.messages } }],
        staleness: { maxVersionsBehind: 0 },
      });
      expect(new Set(samples.flatMap((s) => s.versions)))
        .toEqual(new Set([version]));
    }
    expect(engine.weightVersion).toBe(4);
    expect(trainer.count).toMatchObject({ duplicates: 0, lost: 0, stale: 0 });
  });
});

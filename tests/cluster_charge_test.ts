/** One process in charge: orders, reports and weights of several instances. */
import { afterEach, describe, expect, it } from "vitest";
import { FakePlatform } from "../fakes/platform.ts";
import { FakeTrainer } from "../fakes/trainer.ts";
import { CHAT, ClusterCase } from "./support/cluster_case.ts";
import { keyOf } from "./support/deployment.ts";

describe("the process in charge", () => {
  const current = new ClusterCase();
  let platform: FakePlatform | undefined;
  afterEach(async () => {
    await current.stop();
    platform?.stop();
  });

  it("reports each usage window once, over lost answers and a takeover", async () => {
    platform = new FakePlatform({ checksFencing: false, answerLoss: 0.5 });
    const url = await platform.start();
    const on = await current.start({
      platform: { usageUrl: `${url}/usage` },
      usage: { windowMs: 2_000, sealDelayMs: 200 },
    });
    await current.startEngine(["a", "b"].map((id) => on.of(id).url));
    await on.until(async () =>
      (await on.status("a")).targets.length > 0 || undefined
    );
    const { receipts } = platform;
    const callUntil = async (count: number) => {
      await on.until(async () => {
        await current.ask(on.of("b").url, "artis");
        const windows = new Set(receipts.map((receipt) => receipt.id));
        return windows.size >= count || undefined;
      });
    };
    await callUntil(2);
    const leader = await on.leader();
    on.of(leader).child.kill("SIGSTOP");
    await on.leader([leader]);
    if (leader !== "a") await callUntil(4);
    on.of(leader).child.kill("SIGCONT");
    await callUntil(5);
    const bodies = new Map<string, string>();
    let term = 0;
    for (const receipt of receipts) {
      expect(bodies.get(receipt.id) ?? receipt.body).toBe(receipt.body);
      bodies.set(receipt.id, receipt.body);
      expect(receipt.term).toBeGreaterThanOrEqual(term);
      term = receipt.term;
    }
    const requests = [...bodies.values()].flatMap((body) =>
      JSON.parse(body).figures as { requests: number }[]
    );
    const counted = requests.reduce((sum, f) => sum + f.requests, 0);
    expect(counted).toBeGreaterThan(0);
  });

  it("brings new weights to the targets and delivers fresh samples", async () => {
    const on = await current.start();
    const urls = ["a", "b"].map((id) => on.of(id).url);
    const engine = await current.startEngine(urls);
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

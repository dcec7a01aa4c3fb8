import { describe, expect, it } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ExpectedTimePicker, type TargetAnnouncement } from "../routing/mod.ts";
import type { AttemptOutcome, DispatchEffect } from "./attempt.ts";
import { Dispatcher, type DispatcherOptions } from "./dispatcher.ts";
import type { WorkItem } from "./work_item.ts";

function create(options: Partial<DispatcherOptions> = {}) {
  return new Dispatcher({
    picker: new ExpectedTimePicker(xoroshiro128plus(1)),
    random: () => 0.5,
    getWeight: () => 1,
    getLimits: () => ({}),
    ...options,
  });
}

function target(id: string, change: Partial<TargetAnnouncement> = {}) {
  return {
    id,
    incarnation: "1",
    url: "http://127.0.0.1:1",
    pools: ["m"],
    zone: "z",
    ...change,
  };
}

let nextId = 0;
function item(change: Partial<WorkItem> = {}): WorkItem {
  nextId += 1;
  return {
    id: `i${nextId}`,
    kind: "call",
    workspace: "w",
    route: "r",
    pool: "m",
    cost: 10,
    tokens: 10,
    prefixTokens: 0,
    fingerprint: `f${nextId}`,
    idempotent: true,
    maxAttempts: 3,
    deadline: 60_000,
    ...change,
  };
}

function failed(change: Partial<AttemptOutcome> = {}): AttemptOutcome {
  return {
    type: "failed",
    reason: "targetFailed",
    verdict: "mayHaveRun",
    hasResponded: false,
    isOverload: false,
    isTargetFault: true,
    ...change,
  } as AttemptOutcome;
}

const typesOf = (effects: DispatchEffect[]) => effects.map((e) => e.type);
const targetsOf = (effects: DispatchEffect[]) =>
  effects.flatMap((e) => (e.type === "start" ? [e.targetId] : []));

describe(Dispatcher.name, () => {
  it("places a request and completes it only once", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    const work = item();
    expect(targetsOf(dispatcher.submit(work, 0))).toEqual(["a"]);
    const done: AttemptOutcome = { type: "completed", tokens: 10 };
    expect(dispatcher.finish(work.id, done, 1)).toEqual([]);
    expect(dispatcher.finish(work.id, done, 2)).toEqual([]);
    expect(dispatcher.size).toBe(0);
  });

  it("never retries a non-idempotent request that may have run", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    dispatcher.announce(target("b"), 0);
    const work = item({ idempotent: false });
    dispatcher.submit(work, 0);
    const effects = dispatcher.finish(work.id, failed(), 1);
    expect(effects).toMatchObject([{ type: "refuse", verdict: "mayHaveRun" }]);
  });

  it("retries an idempotent request on another target", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    dispatcher.announce(target("b"), 0);
    const work = item();
    const [first] = targetsOf(dispatcher.submit(work, 0));
    expect(typesOf(dispatcher.finish(work.id, failed(), 1))).toEqual(["retry"]);
    const [second] = targetsOf(dispatcher.tick(5_000));
    expect([first, second].sort()).toEqual(["a", "b"]);
  });

  it("refuses with the strongest verdict of all attempts", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    const work = item({ maxAttempts: 2 });
    dispatcher.submit(work, 0);
    dispatcher.finish(work.id, failed(), 1);
    dispatcher.tick(5_000);
    const outcome = failed({ verdict: "notRun" } as Partial<AttemptOutcome>);
    expect(dispatcher.finish(work.id, outcome, 5_001)).toMatchObject([
      { type: "refuse", verdict: "mayHaveRun" },
    ]);
  });

  it("places nothing on a leaving target and lets it finish", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    const first = item();
    dispatcher.submit(first, 0);
    dispatcher.markLeaving("a");
    expect(typesOf(dispatcher.submit(item(), 1))).toEqual(["refuse"]);
    dispatcher.announce(target("a"), 2);
    expect(typesOf(dispatcher.submit(item(), 2))).toEqual(["refuse"]);
    const done: AttemptOutcome = { type: "completed", tokens: 1 };
    expect(dispatcher.finish(first.id, done, 3)).toEqual([]);
  });

  it("refuses immediately if the deadline cannot be met", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    for (let at = 0; at <= 2_000; at += 500) {
      const work = item({ tokens: 100 });
      dispatcher.submit(work, at);
      dispatcher.finish(work.id, { type: "completed", tokens: 100 }, at + 499);
    }
    for (let i = 0; i < 8; i += 1) dispatcher.submit(item(), 3_000);
    for (let i = 0; i < 20; i += 1) {
      dispatcher.submit(item({ tokens: 100, cost: 100 }), 3_000);
    }
    const [effect] = dispatcher.submit(item({ deadline: 3_500 }), 3_000);
    expect(effect).toMatchObject({
      type: "refuse",
      reason: "deadlineUnreachable",
      verdict: "notRun",
    });
  });

  it("limits the queue of each workspace separately", () => {
    const dispatcher = create({ getLimits: () => ({ queue: 2 }) });
    dispatcher.announce(target("a"), 0);
    for (let i = 0; i < 10; i += 1) dispatcher.submit(item(), 0);
    expect(dispatcher.submit(item(), 0)).toMatchObject([
      { reason: "queueFull" },
    ]);
    expect(dispatcher.submit(item({ workspace: "v" }), 0)).toEqual([]);
  });

  it("places non-idempotent requests only in lasting zones", () => {
    const dispatcher = create({
      isLasting: (t) => t.announcement.zone === "lasting",
    });
    dispatcher.announce(target("cheap"), 0);
    dispatcher.announce(target("kept", { zone: "lasting" }), 0);
    for (let i = 0; i < 5; i += 1) {
      const effects = dispatcher.submit(item({ idempotent: false }), 0);
      expect(targetsOf(effects)).toEqual(["kept"]);
    }
  });

  it("waits for a target with the minimum weight version", () => {
    const dispatcher = create();
    dispatcher.announce(target("a", { weightVersion: 1 }), 0);
    expect(dispatcher.submit(item({ minVersion: 2 }), 0)).toEqual([]);
    const effects = dispatcher.announce(target("a", { weightVersion: 2 }), 1);
    expect(targetsOf(effects)).toEqual(["a"]);
  });

  it("loses at most three targets to a repeated crashing request", () => {
    const dispatcher = create();
    for (let i = 0; i < 8; i += 1) dispatcher.announce(target(`t${i}`), 0);
    let deaths = 0;
    let now = 0;
    let open = 0;
    const onEffects = (effects: DispatchEffect[]) => {
      for (const effect of effects) {
        if (effect.type === "refuse") open -= 1;
        if (effect.type !== "start") continue;
        if (effect.item.fingerprint !== "poison") continue;
        deaths += 1;
        dispatcher.targetDied(effect.targetId, now);
        onEffects(dispatcher.finish(effect.item.id, failed(), now));
      }
    };
    for (let round = 0; round < 40; round += 1) {
      open += 1;
      onEffects(dispatcher.submit(item({ fingerprint: "poison" }), now));
      onEffects(dispatcher.submit(item(), now));
      now += 3_000;
      onEffects(dispatcher.tick(now));
    }
    expect(deaths).toBeLessThanOrEqual(3);
    expect(dispatcher.submit(item({ fingerprint: "poison" }), now))
      .toMatchObject([{ reason: "quarantined", verdict: "ran" }]);
  });

  it("refuses waiting requests once their fingerprint is proven", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    const crashing = item({ fingerprint: "poison" });
    dispatcher.submit(crashing, 0);
    const twin = item({ fingerprint: "poison" });
    dispatcher.submit(twin, 0);
    dispatcher.targetDied("a", 1);
    dispatcher.finish(crashing.id, failed(), 1);
    dispatcher.finish(twin.id, failed(), 1);
    const proof = {
      fingerprint: "poison",
      suspicion: "proven" as const,
      deaths: 2,
    };
    expect(typesOf(dispatcher.mergeSuspicion(proof, 3)))
      .toEqual(["refuse", "refuse"]);
    expect(dispatcher.announce(target("a", { incarnation: "2" }), 4))
      .toEqual([]);
    expect(targetsOf(dispatcher.tick(9_000))).toEqual([]);
  });

  it("runs a sample until it completes, however many targets die under it", () => {
    const dispatcher = create();
    const sample = item({ kind: "sample", maxAttempts: 1_000, deadline: 1e9 });
    const sibling = { ...sample, id: "sibling" };
    let now = 0;
    let started: string[] = [];
    const execute = (effects: DispatchEffect[]) => {
      for (const effect of effects) {
        expect(["start", "retry"]).toContain(effect.type);
        if (effect.type === "start") started.push(effect.item.id);
      }
    };
    for (let burst = 1; burst <= 4; burst += 1) {
      const incarnation = `${burst}`;
      for (const id of ["a", "b"]) {
        execute(dispatcher.announce(target(id, { incarnation }), now));
      }
      if (burst === 1) execute(dispatcher.submit(sample, now));
      for (let i = 0; i < 20; i += 1, now += 1_000) {
        execute(dispatcher.tick(now));
      }
      const runsOn = dispatcher.getTargetOf(sample.id);
      expect(runsOn).toBeDefined();
      for (const id of ["a", "b"]) execute(dispatcher.targetDied(id, now));
      execute(dispatcher.finish(sample.id, failed(), now));
    }
    started = [];
    for (const id of ["a", "b"]) {
      execute(dispatcher.announce(target(id, { incarnation: "9" }), now));
    }
    execute(dispatcher.submit(sibling, now));
    for (let i = 0; i < 20; i += 1, now += 1_000) execute(dispatcher.tick(now));
    expect(started.sort()).toEqual([sample.id, "sibling"].sort());
  });

  it("raises no suspicion when a leaving target exits", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    dispatcher.submit(item(), 0);
    dispatcher.markLeaving("a");
    expect(dispatcher.targetDied("a", 1)).toEqual([]);
  });

  it("completes requests that ran beside a crashing one", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    const crashing = item({ fingerprint: "poison" });
    const harmless = item();
    dispatcher.submit(crashing, 0);
    dispatcher.submit(harmless, 0);
    const started = new Set<string>();
    let now = 2;
    let incarnation = 1;
    const restart = () => {
      incarnation += 1;
      const announcement = target("a", { incarnation: `${incarnation}` });
      onEffects(dispatcher.announce(announcement, now));
    };
    const onEffects = (effects: DispatchEffect[]) => {
      for (const effect of effects) {
        if (effect.type !== "start") continue;
        const { id } = effect.item;
        started.add(id);
        const isCrashing = id === crashing.id;
        if (isCrashing) dispatcher.targetDied("a", now);
        const done: AttemptOutcome = { type: "completed", tokens: 1 };
        onEffects(dispatcher.finish(id, isCrashing ? failed() : done, now));
        if (isCrashing) restart();
      }
    };
    dispatcher.targetDied("a", now);
    onEffects(dispatcher.finish(crashing.id, failed(), 1));
    onEffects(dispatcher.finish(harmless.id, failed(), 1));
    restart();
    for (; now < 20_000; now += 1_000) onEffects(dispatcher.tick(now));
    expect([...started].sort()).toEqual([crashing.id, harmless.id].sort());
    expect(dispatcher.size).toBe(0);
  });

  it("ejects a failing target and probes it after a delay", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    for (let i = 0; i < 3; i += 1) {
      const work = item({ maxAttempts: 1 });
      dispatcher.submit(work, 0);
      dispatcher.finish(work.id, failed(), 0);
    }
    expect(dispatcher.submit(item(), 10)).toEqual([]);
    expect(dispatcher.tick(999)).toEqual([]);
    dispatcher.submit(item(), 999);
    expect(targetsOf(dispatcher.tick(1_001))).toEqual(["a"]);
  });

  it("returns a retry delay when a limit refuses", () => {
    const dispatcher = create({
      getLimits: () => ({ requestsPerSecond: 1, burst: 1 }),
    });
    dispatcher.announce(target("a"), 0);
    dispatcher.submit(item(), 0);
    expect(dispatcher.submit(item(), 0)).toMatchObject([
      { reason: "limitRequests", verdict: "notRun", retryAfterMs: 1_000 },
    ]);
  });

  it("cancels a running request and ignores its late outcome", () => {
    const dispatcher = create();
    dispatcher.announce(target("a"), 0);
    const work = item();
    dispatcher.submit(work, 0);
    expect(dispatcher.cancel(work.id, 1)).toBe(true);
    expect(dispatcher.targets.get("a")?.inFlight).toBe(0);
    expect(dispatcher.finish(work.id, failed(), 2)).toEqual([]);
  });
});

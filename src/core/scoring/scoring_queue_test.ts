import { describe, expect, it } from "vitest";
import { ScoringDecision, ScoringQueue } from "./scoring_queue.ts";

describe(ScoringQueue.name, () => {
  function create(keys: readonly string[], route = "r"): ScoringQueue {
    const queue = new ScoringQueue();
    keys.forEach((key, i) =>
      queue.add({ key, route, dueAt: i, maxFailures: 3 })
    );
    return queue;
  }

  function take(
    queue: ScoringQueue,
    options: {
      now?: number;
      limit?: number;
      missing?: Readonly<Record<string, number>>;
    } = {},
  ): string[] {
    return queue.takeDue({
      now: options.now ?? 0,
      limitOf: () => options.limit ?? 10,
      missingOf: (key) => options.missing?.[key] ?? 1,
    }).map(({ key }) => key);
  }

  it("takes each text once", () => {
    const queue = create(["a", "b"]);
    expect(take(queue)).toEqual(["a", "b"]);
    expect(take(queue)).toEqual([]);
  });

  it("takes texts that complete a group first, then by due time", () =>
    expect(take(create(["a", "b", "c"]), { missing: { a: 2, b: 2 } }))
      .toEqual(["c", "a", "b"]));

  it("limits the calls in flight and continues as they end", () => {
    const queue = create(["a", "b", "c"]);
    expect(take(queue, { limit: 2 })).toEqual(["a", "b"]);
    queue.remove("a");
    expect(take(queue, { limit: 2 })).toEqual(["c"]);
  });

  it("lets a full route hold back no other", () => {
    const queue = create(["a", "b"]);
    queue.add({ key: "c", route: "other", dueAt: 9, maxFailures: 3 });
    expect(take(queue, { limit: 1 })).toEqual(["a", "c"]);
  });

  it("gives up after the failed responses, however they are spread", () => {
    const queue = create(["a"]);
    take(queue);
    expect(queue.onUnscored("a", { failures: 2 }, 0))
      .toBe(ScoringDecision.Retry);
    take(queue, { now: 5_000 });
    expect(queue.onUnscored("a", { failures: 1 }, 0))
      .toBe(ScoringDecision.GiveUp);
  });

  it("retries refusals and lost connections without end, backing off", () => {
    const queue = create(["a"]);
    let now = 0;
    for (let i = 0; i < 50; i += 1) {
      expect(take(queue, { now })).toEqual(["a"]);
      expect(queue.onUnscored("a", { failures: 0 }, now))
        .toBe(ScoringDecision.Retry);
      expect(take(queue, { now })).toEqual([]);
      now += 1_000;
    }
  });
});

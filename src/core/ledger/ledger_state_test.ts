import { describe, expect, it } from "vitest";
import type { CompletedSample, StepSpec } from "../samples/mod.ts";
import type { LedgerRecord } from "./ledger_record.ts";
import { LedgerState } from "./ledger_state.ts";

const STEP: StepSpec = {
  id: "s1",
  workspace: "artis",
  keyId: "artis-1",
  route: "planner",
  model: "planner",
  groups: [{ id: "g", body: {}, samples: 3 }],
  staleness: { maxVersionsBehind: 1 },
  deadline: 1_000,
  tokensPerSample: 10,
};
const KEY = { workspace: "artis", step: "s1" };
const CALL = { workspace: "artis", key: "k1" };

function sample(
  slot: number,
  change: Partial<CompletedSample> = {},
): CompletedSample {
  return {
    slot,
    text: `text ${slot}`,
    finishReason: "stop",
    tokens: 5,
    versions: [1],
    firstTokenAt: 0,
    targetId: "t",
    ...change,
  };
}

function delivered(...samples: CompletedSample[]): LedgerRecord {
  return { type: "samplesDelivered", ...KEY, samples };
}

describe(LedgerState.name, () => {
  function create(...records: LedgerRecord[]) {
    const ledger = new LedgerState();
    ledger.apply({ type: "stepSubmitted", step: STEP });
    for (const record of records) ledger.apply(record);
    return ledger;
  }

  it("delivers each slot once, numbered in order of delivery", () => {
    const ledger = create(delivered(sample(2), sample(0)));
    expect(ledger.apply(delivered(sample(1), sample(2)))?.invariant)
      .toBe("sampleOnce");
    const numbers = ledger.getStep(KEY)?.read(0)
      .map(({ number, slot }) => [number, slot]);
    expect(numbers).toEqual([[1, 2], [2, 0]]);
  });

  it("rejects a record that contains a slot twice", () => {
    expect(create().apply(delivered(sample(1), sample(1)))?.invariant)
      .toBe("sampleOnce");
  });

  it("rejects a sample without versions", () => {
    const ledger = create();
    const err = ledger.apply(delivered(sample(0), sample(1, { versions: [] })));
    expect(err?.invariant).toBe("sampleVersioned");
    expect(ledger.getStep(KEY)?.delivered).toBe(0);
  });

  it("continues the numbering after acknowledgement and reload", () => {
    const ledger = create(
      delivered(sample(0), sample(1)),
      { type: "samplesAcked", ...KEY, through: 1 },
    );
    const saved = JSON.parse(JSON.stringify(ledger.save()));
    const loaded = new LedgerState().load(saved);
    loaded.apply(delivered(sample(2)));
    const step = loaded.getStep(KEY);
    expect(step?.read(0).map((s) => s.number)).toEqual([2, 3]);
    expect(step?.status).toBe("done");
    expect(loaded.apply(delivered(sample(0)))?.invariant).toBe("sampleOnce");
  });

  it("completes a step whose remaining slots have failed", () => {
    const failure = { slot: 2, group: "g", reason: "quarantined" } as const;
    const ledger = create(
      delivered(sample(0), sample(1)),
      { type: "slotFailed", ...KEY, failure },
    );
    expect(ledger.getStep(KEY)?.status).toBe("done");
    expect(ledger.apply(delivered(sample(2)))?.invariant).toBe("sampleOnce");
  });

  it("starts a call at most once unless it was not executed", () => {
    const start: LedgerRecord = {
      type: "callStarted",
      ...CALL,
      fingerprint: "f",
      owner: "o",
      at: 0,
    };
    const ledger = create(start, { type: "callLost", ...CALL });
    expect(ledger.apply(start)?.invariant).toBe("nonIdempotentAtMostOnce");
    const retried = create(start, { type: "callNotRun", ...CALL });
    expect(retried.apply(start)).toBeUndefined();
  });

  it("seals a window once and counts later usage in the next one", () => {
    const use = {
      workspace: "artis",
      route: "planner",
      requests: 1,
      tokens: 5,
      samples: 0,
      wastedTokens: 0,
    };
    const ledger = create(
      { type: "usage", entries: [use] },
      { type: "windowSealed", window: 0, next: 60 },
      { type: "usage", entries: [use, use] },
    );
    expect(ledger.usage.sealed[0].figures).toEqual([use]);
    expect(ledger.usage.open[0].requests).toBe(2);
    expect(
      ledger.apply({ type: "windowSealed", window: 0, next: 60 })
        ?.invariant,
    ).toBe("windowReportedOnce");
  });
});

import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { ProposalWaiters, PROPOSE_TIMEOUT_MS } from "./proposal_waiters.ts";

describe(ProposalWaiters.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  async function doTest(
    act: (waiters: ProposalWaiters<string>) => void,
    expected: string,
  ) {
    const waiters = new ProposalWaiters<string>((verdict) =>
      new RefusalError(RefusalReason.ControlUnavailable, verdict)
    );
    const outcome = waiters.waitUntilApplied({ index: 3, term: 2 })
      .catch((err: RefusalError) => err.verdict);
    act(waiters);
    expect(await outcome).toBe(expected);
  }

  it("resolves with the result of the proposal's own entry", () =>
    doTest((w) => w.onApplied({ index: 3, term: 2 }, "done"), "done"));

  it("rejects with notRun if another entry took its position", () =>
    doTest((w) => w.onApplied({ index: 3, term: 4 }, "done"), Verdict.NotRun));

  it("rejects with mayHaveRun if leadership is lost", () =>
    doTest((w) => w.rejectAll(), Verdict.MayHaveRun));

  it("rejects with mayHaveRun if nothing is applied in time", () =>
    doTest(
      () => void vi.advanceTimersByTime(PROPOSE_TIMEOUT_MS),
      Verdict.MayHaveRun,
    ));
});

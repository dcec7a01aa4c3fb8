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
    const outcome = waiters.wait({ index: 3, term: 2 })
      .catch((err: RefusalError) => err.verdict);
    act(waiters);
    expect(await outcome).toBe(expected);
  }

  it("answers with the outcome of the own entry", () =>
    doTest((w) => w.onApplied({ index: 3, term: 2 }, "done"), "done"));

  it("says not run where another entry took the place", () =>
    doTest((w) => w.onApplied({ index: 3, term: 4 }, "done"), Verdict.NotRun));

  it("leaves it open where the lead is lost", () =>
    doTest((w) => w.rejectAll(), Verdict.MayHaveRun));

  it("leaves it open where nothing is applied in time", () =>
    doTest(
      () => void vi.advanceTimersByTime(PROPOSE_TIMEOUT_MS),
      Verdict.MayHaveRun,
    ));
});

import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NO_WORKSPACE } from "../../core/policy/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { CallerIdentity } from "../calls/mod.ts";
import { BatchEnder } from "./batch_ender.ts";
import { LeaderClient, type LeaderRequestOptions } from "./leader_client.ts";

const REQUEST = { key: "key", batch: "b1" };
const PARK: CallerIdentity = { workspace: "park", refusal: undefined };
const ANSWERED_MS = 1_300;
const NO_REPORTS = {
  logger: { event: vi.fn() } as never,
  metrics: { count: vi.fn() } as never,
};
/** Longest time after the return of the ledger in which the end arrives. */
const DUE_MS = 2_000;

describe(BatchEnder.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  /** Ends a batch at a ledger that answers from a time on. */
  function createEnder(availableAtMs: number, failure = noLeaderError()) {
    const startedAt = performance.now();
    const elapsedMs = () => performance.now() - startedAt;
    const confirmed: number[] = [];
    const requestLeader = async (
      _role: unknown,
      _method: unknown,
      { timeoutMs }: LeaderRequestOptions,
    ) => {
      if (elapsedMs() < availableAtMs) {
        await new Promise((resolve) => setTimeout(resolve, timeoutMs));
        throw failure;
      }
      confirmed.push(elapsedMs());
      return true;
    };
    const ender = new BatchEnder({
      node: {
        requestLeader,
        ...NO_REPORTS,
      },
      identify: () => Promise.resolve(PARK),
    });
    return { ender, confirmed };
  }

  async function doTest(
    availableAtMs: number,
    failure?: RefusalError,
  ): Promise<{ confirmed: number[]; outcome: Verdict | undefined }> {
    const { ender, confirmed } = createEnder(availableAtMs, failure);
    let outcome: Verdict | undefined;
    ender.end(REQUEST).catch((err: RefusalError) => outcome = err.verdict);
    await vi.advanceTimersByTimeAsync(ANSWERED_MS);
    const answered = outcome;
    await vi.advanceTimersByTimeAsync(availableAtMs + DUE_MS);
    return { confirmed, outcome: answered };
  }

  it("ends a batch at once at a ledger that answers", async () => {
    const { confirmed, outcome } = await doTest(0);
    expect(confirmed).toHaveLength(1);
    expect(outcome).toBeUndefined();
  });

  it("ends a batch after an outage that was longer than its answer", async () => {
    const { confirmed, outcome } = await doTest(10_000);
    expect(confirmed).toHaveLength(1);
    expect(confirmed[0]).toBeLessThan(10_000 + DUE_MS);
    // The end takes effect later, so it must not be reported as not run.
    expect(outcome).toBe(Verdict.MayHaveRun);
  });

  it("ends a batch at another member while the known leader is silent", async () => {
    const leaders = new LeaderClient({
      hub: {
        isLinked: () => true,
        request: async (id, _method, { timeoutMs }) => {
          if (id === "b") return true;
          await new Promise((resolve) => setTimeout(resolve, timeoutMs));
          throw noLeaderError();
        },
      },
      leaderOf: () => "a",
      membersOf: () => ["a", "b"],
    });
    const ender = new BatchEnder({
      node: {
        requestLeader: (...args) => leaders.request(...args),
        ...NO_REPORTS,
      },
      identify: () => Promise.resolve(PARK),
    });
    let isEnded = false;
    ender.end(REQUEST).then(() => isEnded = true);
    await vi.advanceTimersByTimeAsync(ANSWERED_MS);
    expect(isEnded).toBe(true);
  });

  /** Ends a batch at an instance that cannot check keys for some time. */
  async function endWhileFenced(checked: CallerIdentity): Promise<unknown[]> {
    const requestLeader = vi.fn().mockResolvedValue(true);
    const startedAt = performance.now();
    const ender = new BatchEnder({
      node: { requestLeader, ...NO_REPORTS },
      identify: () => {
        if (performance.now() - startedAt > 5_000) {
          return Promise.resolve(checked);
        }
        const { DataCentreFenced } = RefusalReason;
        return Promise.reject(
          new RefusalError(DataCentreFenced, Verdict.NotRun),
        );
      },
    });
    const outcome = ender.end(REQUEST).catch((err) => err.verdict);
    expect(await outcome).toBe(Verdict.MayHaveRun);
    await vi.advanceTimersByTimeAsync(5_000 + DUE_MS);
    return requestLeader.mock.calls.map(([_role, _method, { params }]) =>
      params
    );
  }

  it("ends a batch once its instance can check keys again", async () => {
    expect(await endWhileFenced(PARK))
      .toEqual([{ workspace: "park", batch: "b1" }]);
  });

  it("ends no batch of a workspace for a key that was withdrawn meanwhile", async () => {
    expect(await endWhileFenced(createUnknown(RefusalReason.KeyUnknown)))
      .toEqual([{ workspace: NO_WORKSPACE, batch: "b1" }]);
  });

  it("tells a caller without a known key nothing of batches", async () => {
    const notFound = new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
    const ender = new BatchEnder({
      node: { requestLeader: () => Promise.reject(notFound), ...NO_REPORTS },
      identify: () => Promise.resolve(createUnknown(RefusalReason.KeyMissing)),
    });
    await expect(ender.end(REQUEST)).rejects
      .toMatchObject({ reason: RefusalReason.KeyMissing });
  });

  /** Ends a batch whose caller is known only at the first round. */
  async function endWithoutCaller(reason: RefusalReason): Promise<unknown[]> {
    const identify = vi.fn()
      .mockResolvedValueOnce(PARK)
      .mockResolvedValue(createUnknown(reason));
    const requestLeader = vi.fn()
      .mockRejectedValueOnce(noLeaderError())
      .mockRejectedValueOnce(noLeaderError())
      .mockResolvedValue(true);
    const ender = new BatchEnder({
      node: { requestLeader, ...NO_REPORTS },
      identify,
    });
    const outcome = ender.end(REQUEST).catch((err) => err.verdict);
    expect(await outcome).toBe(Verdict.MayHaveRun);
    await vi.advanceTimersByTimeAsync(DUE_MS);
    expect(identify).toHaveBeenCalledTimes(1);
    return await Promise.all(
      requestLeader.mock.results.map(({ value }) =>
        Promise.resolve(value).catch(() => false)
      ),
    );
  }

  // Guards against batches that run on since their caller's key was replaced.
  it.each([RefusalReason.KeyUnknown, RefusalReason.KeyMissing])(
    "ends a batch whose caller was identified before it became unknown (%s)",
    async (reason) => {
      expect(await endWithoutCaller(reason)).toEqual([false, false, true]);
    },
  );

  it("sends the end of an unknown batch once", async () => {
    const notFound = new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
    const { confirmed, outcome } = await doTest(10_000, notFound);
    expect(confirmed).toEqual([]);
    expect(outcome).toBe(Verdict.NotRun);
  });

  it("sends an end that is requested again once", async () => {
    const { ender, confirmed } = createEnder(3_000);
    const ends = [ender.end(REQUEST), ender.end(REQUEST)];
    const settled = Promise.allSettled(ends);
    await vi.advanceTimersByTimeAsync(3_000 + DUE_MS);
    await settled;
    expect(confirmed).toHaveLength(1);
  });

  it("gives up an end that the ledger never confirms", async () => {
    const { ender, confirmed } = createEnder(Infinity);
    ender.end(REQUEST).catch(() => {});
    await vi.advanceTimersByTimeAsync(70_000);
    const settled = ender.settle(0);
    await vi.advanceTimersByTimeAsync(1);
    await settled;
    expect(confirmed).toEqual([]);
    expect(vi.getTimerCount()).toBe(0);
  });
});

/** Creates the identity of a caller who brings no known key. */
function createUnknown(reason: RefusalReason): CallerIdentity {
  const refusal = new RefusalError(reason, Verdict.NotRun);
  return { workspace: NO_WORKSPACE, refusal };
}

function noLeaderError(): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun);
}

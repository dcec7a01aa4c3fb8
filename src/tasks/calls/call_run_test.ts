import { describe, expect, it, vi } from "vitest";
import { createCall } from "../../../tests/support/call_request.ts";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import { type CallResponse, LatencyTracker } from "../../core/calls/mod.ts";
import { PolicyView, RouteKind } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import type { RefusalError } from "../../core/verdict/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { type SendGuard, WithheldReason } from "../send_guard.ts";
import { CallRun } from "./call_run.ts";
import type { CallSpread } from "./call_run_options.ts";
import { type CrashGuard, NO_CRASH_GUARD } from "./crash_guard.ts";
import type { RateGuard } from "./rate_guard.ts";
import type {
  AttemptOutcome,
  CallAttempt,
  ResponseStream,
  TargetPort,
} from "./target_port.ts";

const CALL = createCall({ key: "k", timeoutMs: 2_000 });

const ROUTE_TIMEOUT_MS = 1_000;
const FIRST_EVENT = "id: 1\ndata: x\n\n";

const NO_LIMITS: RateGuard = {
  isLimited: () => false,
  acquire: () => Promise.reject(new Error("Unexpected request for a permit")),
};

function answered(
  status: number,
  fields: Partial<Extract<AttemptOutcome, { type: "answered" }>> = {},
): AttemptOutcome {
  const answer: CallResponse = { status, headers: [], body: new Uint8Array() };
  return {
    type: "answered",
    answer,
    isNotRun: false,
    isMisdirected: false,
    ...fields,
  };
}

function failed(mayHaveRun: boolean): AttemptOutcome {
  return { type: "failed", mayHaveRun, isBroken: false, detail: "reset" };
}

function withheld(reason: WithheldReason): AttemptOutcome {
  const sent = { mayHaveRun: false, isBroken: false, detail: reason };
  return { type: "failed", withheld: reason, ...sent };
}

/** An outcome; "begun" is a stream that breaks off after its first event. */
type Scripted = AttemptOutcome | "silent" | "begun";

/** Returns the given outcomes in order, then repeats the last one. */
class ScriptedTargets implements TargetPort {
  readonly attempts: CallAttempt[] = [];
  readonly #outcomes: readonly Scripted[];
  readonly #onSend: (() => void) | undefined;

  /** @param onSend - Called before the guard of an attempt is asked. */
  constructor(outcomes: readonly Scripted[], onSend?: () => void) {
    this.#outcomes = outcomes;
    this.#onSend = onSend;
  }

  send(attempt: CallAttempt): Promise<AttemptOutcome> {
    this.#onSend?.();
    const reason = attempt.guard?.();
    if (reason !== undefined) return Promise.resolve(withheld(reason));
    const i = Math.min(this.attempts.length, this.#outcomes.length - 1);
    this.attempts.push(attempt);
    const outcome = this.#outcomes[i];
    if (outcome === "begun") return Promise.resolve(failed(true));
    if (outcome !== "silent") return Promise.resolve(outcome);
    return new Promise((resolve) => {
      attempt.signal.addEventListener("abort", () => resolve(failed(true)));
      setTimeout(() => resolve(failed(true)), attempt.timeoutMs);
    });
  }

  async stream(
    attempt: CallAttempt,
    sink: ResponseStream,
  ): Promise<AttemptOutcome> {
    if (this.#outcomes[this.attempts.length] === "begun") {
      attempt.onVerified?.();
      sink.onHead(200, []);
      if (!sink.onData(Buffer.from(FIRST_EVENT))) await sink.drained();
    }
    return await this.send(attempt);
  }

  isRefusing(): Promise<boolean> {
    return Promise.resolve(false);
  }

  closeIdleExcept(): void {}
}

interface CallEnd {
  readonly status?: number;
  readonly reason?: string;
  readonly verdict?: string;
  readonly retryAfterMs?: number | undefined;
  readonly attempts: number;
}

async function play(
  outcomes: readonly Scripted[],
  options: {
    kind?: RouteKind;
    targets?: number;
    maxAttempts?: number;
    timeoutMs?: number;
    hasLease?: boolean;
    /** Shortest wait in which the lease is renewed, in milliseconds. */
    leaseAfterMs?: number;
    crashes?: Partial<CrashGuard>;
    rates?: Partial<RateGuard>;
    spread?: CallSpread;
    /** Latency that was measured at each target, in milliseconds. */
    measuredMs?: number;
    stream?: ResponseStream;
    guard?: SendGuard;
    onSend?: () => void;
  } = {},
): Promise<CallEnd & { ids: string[]; ran: number }> {
  const registry = new TargetRegistry();
  for (let i = 0; i < (options.targets ?? 3); i += 1) {
    const address = `127.0.0.1:${i + 1}`;
    registry.merge(createReport({ id: `t${i}`, address }), 0);
  }
  const route = createRoute({
    kind: options.kind ?? RouteKind.Idempotent,
    isResumable: options.stream !== undefined,
    timeoutMs: options.timeoutMs ?? ROUTE_TIMEOUT_MS,
    objectiveMs: 60,
    maxAttempts: options.maxAttempts ?? 3,
  });
  const workspace = { name: "w", keys: ["k"], priority: 1 };
  const policy = new PolicyView(
    createPolicy({ routes: [route], workspaces: [workspace] }),
  );
  const targets = new ScriptedTargets(outcomes, options.onSend);
  let ran = 0;
  const latencies = new LatencyTracker();
  for (const { report } of registry.all) {
    const latencyMs = options.measuredMs;
    if (latencyMs === undefined) break;
    latencies.onSent(report.id)
      .onEnded(report.id, { latencyMs, isFailure: false, now: 0 });
  }
  const run = new CallRun({
    targets,
    registry,
    latencies,
    crashes: { ...NO_CRASH_GUARD, ...options.crashes },
    logger: new Logger({ instance: "test", level: "error" }),
    metrics: new Metrics({ tags: {} }),
    dataCentre: "a",
    spread: options.spread,
    onFirstRun: () => void (ran += 1),
    onSigns: ({ id, incarnation }, { isLeaving }) => {
      if (isLeaving) registry.markLeaving(id, incarnation);
    },
    rates: { ...NO_LIMITS, ...options.rates },
    awaitLease: (maxWaitMs) =>
      Promise.resolve(
        (options.hasLease ?? true) &&
          maxWaitMs >= (options.leaseAfterMs ?? 0),
      ),
  }, {
    call: CALL,
    admission: {
      route,
      workspace,
      policy,
      ...(options.guard === undefined ? {} : { guard: options.guard }),
    },
    signal: new AbortController().signal,
    stream: options.stream,
  });
  const ids = () => targets.attempts.map((attempt) => attempt.target.id);
  try {
    const { status } = await run.run();
    return { status, attempts: targets.attempts.length, ids: ids(), ran };
  } catch (err) {
    const { reason, verdict, retryAfterMs } = err as RefusalError;
    const attempts = targets.attempts.length;
    return { reason, verdict, retryAfterMs, attempts, ids: ids(), ran };
  }
}

describe(CallRun.name, () => {
  async function doTest(
    outcomes: readonly Scripted[],
    options: Parameters<typeof play>[1],
    expected: CallEnd,
  ) {
    expect(await play(outcomes, options)).toMatchObject(expected);
  }

  it("returns the response of the first target", () =>
    doTest([answered(200)], {}, { status: 200, attempts: 1 }));

  it("spreads calls only where instances outnumber the slots", async () => {
    const firstOf = async (instances: number) => {
      const draws = [0.9, 0.5, 0.1];
      const random = () => draws.shift() ?? 0.5;
      const spread = { instances: () => instances, random };
      const { ids } = await play([answered(200)], {
        spread,
        kind: RouteKind.NonIdempotent,
      });
      return ids[0];
    };
    const slots = 3 * createReport({}).slots;
    expect(await firstOf(slots)).toBe("t0");
    expect(await firstOf(slots + 1)).toBe("t2");
  });

  it("tries another target after a refusal, also on a non-idempotent route", () =>
    doTest(
      [answered(503, { isNotRun: true }), answered(200)],
      { kind: RouteKind.NonIdempotent },
      { status: 200, attempts: 2 },
    ));

  it("tries another target after one that is unreachable", () =>
    doTest(
      [failed(false), answered(200)],
      { kind: RouteKind.NonIdempotent },
      { status: 200, attempts: 2 },
    ));

  // Guards against refused calls while all control instances start again.
  it("waits for the lease for most of the time left before a second attempt", () =>
    doTest(
      [failed(false), answered(200)],
      { timeoutMs: 2_000, leaseAfterMs: 1_200 },
      { status: 200, attempts: 2 },
    ));

  it("tries another target after one that may not be sent anything", () =>
    doTest(
      [withheld(WithheldReason.Evacuated), answered(200)],
      { kind: RouteKind.NonIdempotent },
      { status: 200, attempts: 2 },
    ));

  it("tries no other target if the call may not be sent at all", () =>
    doTest(
      [withheld(WithheldReason.NotLeading), answered(200)],
      {},
      { reason: "noTarget", verdict: "notRun", attempts: 1 },
    ));

  // Guards against an attempt after the first that uses a withdrawn key.
  it("refuses a call whose key is withdrawn between two attempts", () => {
    let sends = 0;
    return doTest([answered(503, { isNotRun: true }), answered(200)], {
      onSend: () => void (sends += 1),
      guard: () => sends > 1 ? WithheldReason.KeyWithdrawn : undefined,
    }, { reason: "keyWithdrawn", verdict: "notRun", attempts: 1 });
  });

  it("sends a call to the same target once the lease is valid again", () => {
    let sends = 0;
    return doTest([answered(200)], {
      targets: 1,
      onSend: () => void (sends += 1),
      guard: () => sends === 1 ? WithheldReason.LeaseExpired : undefined,
    }, { status: 200, attempts: 1 });
  });

  it("ends a call whose attempts are withheld again and again", () =>
    doTest([answered(200)], { guard: () => WithheldReason.LeaseExpired }, {
      reason: "noTarget",
      verdict: "notRun",
      attempts: 0,
    }));

  it("retries an idempotent call that may have run", () =>
    doTest([failed(true), answered(200)], {}, { status: 200, attempts: 2 }));

  it("never retries a non-idempotent call that may have run", () =>
    doTest(
      [failed(true), answered(200)],
      { kind: RouteKind.NonIdempotent },
      { reason: "targetFailed", verdict: "mayHaveRun", attempts: 1 },
    ));

  it("reports not run if every target refused", () =>
    doTest(
      [answered(503, { isNotRun: true })],
      { targets: 2 },
      { reason: "noTarget", verdict: "notRun", attempts: 2 },
    ));

  it("reports not run at once if there is no target", () =>
    doTest([], { targets: 0 }, {
      reason: "noTarget",
      verdict: "notRun",
      attempts: 0,
    }));

  it("returns the error response of a target if all fail", () =>
    doTest([answered(500)], { maxAttempts: 2 }, { status: 500, attempts: 2 }));

  it("runs at no more targets than the route's maximum attempts", () =>
    doTest([failed(true)], { targets: 5, maxAttempts: 2 }, {
      reason: "targetFailed",
      verdict: "mayHaveRun",
      attempts: 2,
    }));

  it("sends a hedge to a second target if the first one is slow", () =>
    doTest(["silent", answered(200)], {}, { status: 200, attempts: 2 }));

  it("refuses when the route's timeout has passed", () =>
    doTest(["silent"], { targets: 1, timeoutMs: 150 }, {
      reason: "targetTimeout",
      verdict: "mayHaveRun",
      attempts: 1,
    }));

  it("does not retry under a policy that is not confirmed", () =>
    doTest([failed(true), answered(200)], { hasLease: false }, {
      reason: "targetFailed",
      verdict: "mayHaveRun",
      attempts: 1,
    }));

  const proven = { isProven: () => true, isSuspect: () => true };

  it("refuses a request that ends targets as not run", () =>
    doTest([answered(200)], {
      crashes: { ...proven, takeTrial: () => Promise.resolve(false) },
    }, { reason: "quarantined", verdict: "notRun", attempts: 0 }));

  it("sends the trial run of such a request to one target only", () =>
    doTest([{ ...failed(true), isBroken: true } as AttemptOutcome], {
      crashes: { ...proven, takeTrial: () => Promise.resolve(true) },
    }, { reason: "targetFailed", verdict: "mayHaveRun", attempts: 1 }));

  it("sends no hedge of a request under which a target has ended", () =>
    doTest(["silent", answered(200)], {
      timeoutMs: 200,
      crashes: { isSuspect: () => true },
    }, { reason: "targetTimeout", verdict: "mayHaveRun", attempts: 1 }));

  it("stops once a further target has ended under the request", async () => {
    let deaths = 1;
    const crashes = {
      isSuspect: () => deaths > 0,
      isProven: () => deaths >= 3,
      onBroken: async () => {
        await Promise.resolve();
        deaths += 1;
      },
    };
    const broken = { ...failed(true), isBroken: true } as AttemptOutcome;
    const { attempts } = await play([broken], {
      targets: 5,
      maxAttempts: 5,
      crashes,
    });
    expect(attempts).toBe(2);
  });

  describe("refused by all targets as full", () => {
    const full = answered(503, { isNotRun: true });

    async function doRefusedTest(
      outcomes: readonly AttemptOutcome[],
      measuredMs: number | undefined,
      [min, max]: readonly [number, number],
    ) {
      const { reason, verdict, retryAfterMs } = await play(outcomes, {
        targets: 2,
        ...(measuredMs === undefined ? {} : { measuredMs }),
      });
      expect({ reason, verdict })
        .toEqual({ reason: "noTarget", verdict: "notRun" });
      expect(retryAfterMs).toBeGreaterThanOrEqual(min);
      expect(retryAfterMs).toBeLessThanOrEqual(max);
    }

    it("names the time in which targets complete what they hold", () =>
      doRefusedTest([full], 2_000, [2_000, 2_500]));

    it("names a constant if no latency is measured", () =>
      doRefusedTest([full], undefined, [300, 300]));

    it("names a constant if a target was not reached", () =>
      doRefusedTest([failed(false), full], 2_000, [300, 300]));

    it("names no time outside the bounds", async () => {
      await doRefusedTest([full], 1, [300, 375]);
      await doRefusedTest([full], 90_000, [8_000, 10_000]);
    });
  });

  describe("with targets that limit their requests", () => {
    const limited = new Set(["t0", "t1"]);
    const isLimited = ({ id }: { id: string }) => limited.has(id);
    const denied = { permit: undefined, retryAfterMs: 900 };

    it("prefers targets without a limit and takes no permit for them", () =>
      doTest([answered(200)], { rates: { isLimited } }, {
        status: 200,
        attempts: 1,
      }));

    it("sends a call to the target for which it gets a permit, after the wait", async () => {
      const startedAt = performance.now();
      const { ids } = await play([answered(200)], {
        targets: 2,
        rates: {
          isLimited,
          acquire: ([first]) =>
            Promise.resolve({
              permit: { target: first, afterMs: 25 },
              retryAfterMs: 0,
            }),
        },
      });
      expect(ids).toEqual(["t0"]);
      expect(performance.now() - startedAt).toBeGreaterThanOrEqual(24);
    });

    it("refuses as not run, with the time of the next permit", () =>
      doTest([answered(200)], {
        targets: 2,
        rates: { isLimited, acquire: () => Promise.resolve(denied) },
      }, {
        reason: "noTarget",
        verdict: "notRun",
        attempts: 0,
        retryAfterMs: 900,
      }));

    it("learns of targets whose connection breaks or is refused", async () => {
      const lost: string[] = [];
      const ends = [{ isBroken: true }, { isRefused: true }, {}];
      const outcomes = ends.map((end) =>
        ({ ...failed(true), ...end }) as AttemptOutcome
      );
      const { ids } = await play(outcomes, {
        maxAttempts: 3,
        rates: { onLost: ({ id }) => lost.push(id) },
      });
      expect(lost).toEqual(ids.slice(0, 2));
    });

    it("does not use a permit that has expired during the wait", () =>
      doTest([answered(200)], {
        targets: 1,
        rates: {
          isLimited,
          acquire: ([first]) =>
            Promise.resolve({
              permit: { target: first, afterMs: 5, isValid: () => false },
              retryAfterMs: 0,
            }),
        },
      }, { reason: "noTarget", verdict: "notRun", attempts: 0 }));

    // Guards against more requests in a second than a target tolerates, where
    // the connection opens slowly.
    it("does not use a permit that expires before the send", () => {
      let permits = 0;
      let isValid = true;
      return doTest([answered(200)], {
        targets: 1,
        onSend: () => void (isValid = permits > 1),
        rates: {
          isLimited,
          acquire: ([first]) => {
            permits += 1;
            isValid = true;
            return Promise.resolve({
              permit: { target: first, afterMs: 5, isValid: () => isValid },
              retryAfterMs: 0,
            });
          },
        },
      }, { status: 200, attempts: 1 }).then(() => expect(permits).toBe(2));
    });

    it("sends no hedge to them", () =>
      doTest(["silent", answered(200)], {
        targets: 2,
        timeoutMs: 200,
        rates: {
          isLimited: ({ id }) => id === "t1",
          acquire: () => Promise.resolve(denied),
        },
      }, { reason: "targetTimeout", verdict: "mayHaveRun", attempts: 1 }));
  });

  it("sends each attempt to another target and counts the call once", async () => {
    const { ids, ran } = await play([
      failed(true),
      failed(true),
      answered(200),
    ]);
    expect(new Set(ids).size).toBe(3);
    expect(ran).toBe(1);
  });

  describe("of a stream that has begun", () => {
    const stream: ResponseStream = {
      onHead: () => {},
      onData: () => true,
      drained: () => Promise.resolve(),
    };
    const options = { kind: RouteKind.Streaming, targets: 2, stream };
    const full = answered(503, { isNotRun: true });

    // Guards against streams that break off because the only target that may go
    // on with them has no free slot when another one ends.
    it("asks a full target again until it has a free slot", () =>
      doTest(["begun", full, full, answered(200)], options, {
        status: 200,
        attempts: 4,
      }));

    it("asks full targets no more when its time is up", async () => {
      vi.useFakeTimers();
      try {
        const played = play(["begun", full], options);
        await vi.advanceTimersByTimeAsync(ROUTE_TIMEOUT_MS);
        const { reason, ids } = await played;
        expect({ reason, ids: ids.slice(0, 3) })
          .toEqual({ reason: "targetFailed", ids: ["t0", "t1", "t1"] });
      } finally {
        vi.useRealTimers();
      }
    });

    it("asks a full target once before its first event", () =>
      doTest([full], options, { reason: "noTarget", attempts: 2 }));
  });
});

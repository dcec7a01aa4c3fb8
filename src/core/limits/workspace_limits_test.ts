import { describe, expect, it } from "vitest";
import { AdaptiveWindow } from "./adaptive_window.ts";
import { TokenBucket } from "./token_bucket.ts";
import { WorkspaceLimits } from "./workspace_limits.ts";

describe(WorkspaceLimits.name, () => {
  it("refuses requests over the rate and returns a retry delay", () => {
    const limits = new WorkspaceLimits({ requestsPerSecond: 2, burst: 2 });
    expect(limits.admit(1, 0)).toBeUndefined();
    expect(limits.admit(1, 0)).toBeUndefined();
    const refusal = limits.admit(1, 0);
    expect(refusal).toEqual({ reason: "limitRequests", retryAfterMs: 500 });
    expect(limits.admit(1, 500)).toBeUndefined();
  });

  it("refuses requests over the concurrency until one is released", () => {
    const limits = new WorkspaceLimits({ concurrency: 1 });
    expect(limits.admit(1, 0)).toBeUndefined();
    expect(limits.admit(1, 0)?.reason).toBe("limitConcurrency");
    limits.release(1, 1, 0);
    expect(limits.admit(1, 0)).toBeUndefined();
  });

  it("corrects estimated tokens to the actual number", () => {
    const limits = new WorkspaceLimits({ tokensPerSecond: 100 });
    expect(limits.admit(10, 0)).toBeUndefined();
    limits.release(10, 110, 0);
    expect(limits.admit(10, 0)?.reason).toBe("limitTokens");
  });

  it("applies only its share of the limits", () => {
    const settings = { requestsPerSecond: 8, burst: 8 };
    const limits = new WorkspaceLimits(settings, { share: 0.25 });
    expect(limits.admit(1, 0)).toBeUndefined();
    expect(limits.admit(1, 0)).toBeUndefined();
    expect(limits.admit(1, 0)?.reason).toBe("limitRequests");
  });
});

describe(TokenBucket.name, () => {
  it("does not refill when the clock goes backwards", () => {
    const bucket = new TokenBucket({ ratePerSecond: 1, burst: 1 });
    expect(bucket.tryTake(1, 10_000)).toBe(true);
    expect(bucket.tryTake(1, 5_000)).toBe(false);
    expect(bucket.tryTake(1, 10_500)).toBe(false);
    expect(bucket.tryTake(1, 11_000)).toBe(true);
  });
});

describe(AdaptiveWindow.name, () => {
  it("shrinks once for one overload and grows only while full", () => {
    const window = new AdaptiveWindow({ initial: 10 });
    window.onOverload(0).onOverload(1);
    expect(window.size).toBe(7);
    expect(window.onSuccess(3).size).toBe(7);
    for (let i = 0; i < 8; i += 1) window.onSuccess(7);
    expect(window.size).toBe(8);
  });
});

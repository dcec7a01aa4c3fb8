import { describe, expect, it } from "vitest";
import { PermitIssuer } from "./permit_issuer.ts";

const WINDOW_MS = 4_000;

describe(PermitIssuer.name, () => {
  /** Asks at a constant rate; gets the times at which requests are sent. */
  function simulate(
    issuer: PermitIssuer,
    options: { perSecond: number; asksPerS: number; maxWaitMs: number },
  ): number[] {
    const { perSecond, asksPerS, maxWaitMs } = options;
    const targets = [{ target: "t/1", perSecond }];
    const sent: number[] = [];
    for (let now = 0; now < 20_000; now += 1_000 / asksPerS) {
      const { permits } = issuer.grant({ targets, count: 1, maxWaitMs }, now);
      for (const { afterMs } of permits) sent.push(now + afterMs);
    }
    return sent;
  }

  function doTest(perSecond: number, asksPerS: number, maxWaitMs: number) {
    const sent = simulate(new PermitIssuer(), {
      perSecond,
      asksPerS,
      maxWaitMs,
    });
    const counts = sent.map((start) =>
      sent.filter((at) => at >= start && at < start + WINDOW_MS).length
    );
    const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
    expect(Math.max(...counts)).toBeLessThanOrEqual(allowed);
    const expected = Math.min(perSecond, asksPerS) * 20;
    expect(sent.length).toBeGreaterThan(expected * 0.9 - 2);
  }

  it("keeps a low rate under a high load, without waits", () =>
    doTest(0.5, 200, 0));

  it("keeps a low rate under a high load, with waits", () =>
    doTest(1, 200, 300));

  it("keeps a high rate and uses it", () => doTest(40, 400, 100));

  it("grants everything below the rate", () => doTest(10, 4, 100));

  it("prefers the target that can take a request first", () => {
    const issuer = new PermitIssuer();
    const targets = [
      { target: "slow/1", perSecond: 1 },
      { target: "fast/1", perSecond: 10 },
    ];
    issuer.grant({ targets, count: 1, maxWaitMs: 0 }, 0);
    const { permits, retryAfterMs } = issuer.grant(
      { targets, count: 3, maxWaitMs: 150 },
      100,
    );
    expect(permits.map(({ target }) => target)).toEqual(["fast/1", "fast/1"]);
    expect(retryAfterMs).toBeCloseTo(200);
  });

  it("applies a changed rate", () => {
    const issuer = new PermitIssuer();
    const ask = (perSecond: number, now: number) =>
      issuer.grant(
        { targets: [{ target: "t/1", perSecond }], count: 9, maxWaitMs: 0 },
        now,
      ).permits.length;
    expect(ask(1, 0)).toBe(0);
    expect(ask(8, 1_000)).toBe(1);
    expect(ask(8, 1_250)).toBe(2);
  });
});

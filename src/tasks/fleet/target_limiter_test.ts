import { describe, expect, it } from "vitest";
import { createLimiter } from "../../../tests/support/target_limiter.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import type { ServicePolicy } from "../../core/policy/mod.ts";
import { TargetRegistry, type TargetReport } from "../../core/registry/mod.ts";
import type { TargetLimiter } from "./target_limiter.ts";

const SERVICE: ServicePolicy = {
  name: "s",
  healthPath: "/",
  maxConnections: 8,
  models: [],
  scaling: undefined,
};
const SLOW_START = { durationMs: 3_000, requestsPerS: 8 };

interface LimiterSetup {
  readonly reports: readonly Partial<TargetReport>[];
  readonly slowStart?: ServicePolicy["slowStart"];
  readonly hasLeader?: boolean;
}

describe("a limiter of a service with slow start", () => {
  async function doTest(
    setup: LimiterSetup,
    check: (
      limiter: TargetLimiter,
      registry: TargetRegistry,
      setNow: (now: number) => void,
    ) => Promise<void> | void,
  ) {
    let now = 0;
    const registry = new TargetRegistry();
    for (const report of setup.reports) {
      registry.merge(createReport(report), now);
    }
    const slowStart = "slowStart" in setup ? setup.slowStart : SLOW_START;
    const limiter = createLimiter(registry, {
      now: () => now,
      getService: () => ({ ...SERVICE, slowStart }),
      hasLeader: () => setup.hasLeader ?? true,
      senders: ["test", "other"],
    });
    await check(limiter, registry, (at) => {
      now = at;
    });
  }

  const cold = { id: "cold", address: "127.0.0.1:2", coldMs: 3_000 };
  const warm = { id: "warm", address: "127.0.0.1:3", coldMs: 0 };

  it("limits a target until its cold time has passed", () =>
    doTest({ reports: [cold] }, (limiter, registry, setNow) => {
      const target = registry.getReportOrThrow("cold");
      expect(limiter.isLimited(target)).toBe(true);
      setNow(3_000);
      expect(limiter.isLimited(target)).toBe(true);
      setNow(3_200);
      expect(limiter.isLimited(target)).toBe(false);
    }));

  it("limits none without slow start, whatever targets report", () =>
    doTest(
      { reports: [cold], slowStart: undefined },
      (limiter, registry) =>
        expect(limiter.isLimited(registry.getReportOrThrow("cold")))
          .toBe(false),
    ));

  const incarnation = Date.now();

  it("limits a target that names no cold time and starts beside another", () =>
    doTest({
      reports: [
        { id: "first", incarnation },
        { id: "second", address: "127.0.0.1:2", incarnation },
        { id: "old", address: "127.0.0.1:3", incarnation: 7 },
      ],
    }, (limiter, registry, setNow) => {
      const isLimited = (id: string) =>
        limiter.isLimited(registry.getReportOrThrow(id));
      expect(["first", "second", "old"].map(isLimited))
        .toEqual([false, true, false]);
      setNow(3_000);
      expect(isLimited("second")).toBe(false);
    }));

  it("keeps to the lower one of two rates", () =>
    doTest({ reports: [cold] }, async (limiter, registry, setNow) => {
      const target = registry.getReportOrThrow("cold");
      registry.recordLimit("cold", target.incarnation, 2);
      await limiter.acquire([target], 0);
      setNow(250);
      expect((await limiter.acquire([target], 0)).permit).toBeUndefined();
      setNow(500);
      expect((await limiter.acquire([target], 0)).permit).toBeDefined();
    }));

  it("takes no permit for valid that is used late", () =>
    doTest({ reports: [cold] }, async (limiter, registry, setNow) => {
      const target = registry.getReportOrThrow("cold");
      const { permit } = await limiter.acquire([target], 500);
      expect(permit?.afterMs).toBe(125);
      setNow(370);
      expect(permit?.isValid?.()).toBe(true);
      setNow(380);
      expect(permit?.isValid?.()).toBe(false);
    }));

  // Guards against runs that are sent late under a permit fetched ahead.
  it("takes no permit fetched ahead for valid that is used late", () =>
    doTest({ reports: [cold] }, async (limiter, registry, setNow) => {
      const target = registry.getReportOrThrow("cold");
      await limiter.fetch([target], 9);
      setNow(1_000);
      await limiter.fetch([target], 9);
      const permit = limiter.useStored(target);
      setNow(1_240);
      expect(permit.isValid?.()).toBe(true);
      setNow(1_250);
      expect(permit.isValid?.()).toBe(false);
    }));

  it("loses permits that were fetched ahead and not used", () =>
    doTest({ reports: [cold] }, async (limiter, registry, setNow) => {
      const target = registry.getReportOrThrow("cold");
      await limiter.fetch([target], 9);
      setNow(1_000);
      await limiter.fetch([target], 9);
      expect(limiter.storedPermits(target)).toBe(2);
      setNow(1_130);
      await limiter.fetch([target], 9);
      expect(limiter.storedPermits(target)).toBe(3);
      setNow(1_260);
      expect(limiter.storedPermits(target)).toBe(1);
    }));

  /** Gets what a limiter without a leader sends in a time. */
  async function sentWithoutLeader(
    limiter: TargetLimiter,
    target: TargetReport,
    { hasOther, setNow }: { hasOther: boolean; setNow: (at: number) => void },
  ): Promise<number> {
    let sent = 0;
    for (let now = 0; now < 2_000; now += 20) {
      setNow(now);
      const { permit } = await limiter.acquire([target], 0, hasOther);
      if (permit !== undefined) sent += 1;
    }
    return sent;
  }

  it("sends no more than a share without a leader", () =>
    doTest(
      { reports: [cold], hasLeader: false },
      async (limiter, registry, setNow) => {
        const target = registry.getReportOrThrow("cold");
        const options = { hasOther: false, setNow };
        const sent = await sentWithoutLeader(limiter, target, options);
        expect(sent).toBeGreaterThan(0);
        expect(sent).toBeLessThanOrEqual(SLOW_START.requestsPerS);
      },
    ));

  it("sends nothing without a leader while another target is warm", () =>
    doTest(
      { reports: [warm, cold], hasLeader: false },
      async (limiter, registry, setNow) => {
        const target = registry.getReportOrThrow("cold");
        const options = { hasOther: true, setNow };
        expect(await sentWithoutLeader(limiter, target, options)).toBe(0);
        setNow(2_500);
        expect(await limiter.fetch([target], 5)).toBe(false);
      },
    ));
});

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { PermitIssuer } from "./permit_issuer.ts";
import { PermitStore } from "./permit_store.ts";
import {
  COLD_BURST,
  rateWithoutLeader,
  reservedPerSecond,
  toleratedPerSecond,
} from "./slow_start.ts";

const arbitraryRate = fc.double({ min: 0.2, max: 100, noNaN: true });

describe(rateWithoutLeader.name, () => {
  /** Requests that a bucket of one request sends in 1.05 s. */
  const sentIn = (rate: number) => rate === 0 ? 0 : Math.floor(1 + rate * 1.05);

  it("leaves all instances together no more than the reserve", () => {
    fc.assert(
      fc.property(
        arbitraryRate,
        fc.integer({ min: 1, max: 80 }),
        fc.string(),
        (requestsPerS, count, target) => {
          const senders = Array.from({ length: count }, (_, i) => `s-${i}`);
          const rates = senders.map((instance) =>
            rateWithoutLeader({ target, requestsPerS, instance, senders })
          );
          const sent = rates.reduce((sum, rate) => sum + sentIn(rate), 0);
          expect(sent).toBeLessThanOrEqual(reservedPerSecond(requestsPerS));
          expect(Math.max(...rates)).toBeLessThanOrEqual(requestsPerS / count);
          expect(Math.max(...rates)).toBeGreaterThan(0);
        },
      ),
      { seed: 1, numRuns: 40 },
    );
  });

  it("counts an instance that no list names", () => {
    const options = { target: "t/1", requestsPerS: 3, instance: "new" };
    expect(rateWithoutLeader({ ...options, senders: ["a", "b"] })).toBe(
      rateWithoutLeader({ ...options, senders: ["a", "b", "new"] }),
    );
  });
});

describe("permits for a cold target", () => {
  it("arrive within the bound if they wait as long as they are valid", () => {
    fc.assert(
      fc.property(arbitraryRate, (perSecond) => {
        const issuer = new PermitIssuer();
        const targets = [{ target: "t/1", perSecond, burst: COLD_BURST }];
        let granted = 0;
        // The longest span whose permits can arrive within one second.
        const ask = (now: number) =>
          issuer.grant({ targets, count: 1_000, maxWaitMs: 0 }, now).permits
            .length;
        ask(0);
        for (let now = 60_000; now < 61_300; now += 5) granted += ask(now);
        expect(granted + reservedPerSecond(perSecond))
          .toBeLessThanOrEqual(toleratedPerSecond(perSecond));
      }),
      { seed: 1, numRuns: 200 },
    );
  });
});

describe(PermitStore.name, () => {
  function doTest(extendsOthers: boolean, expected: readonly number[]) {
    const store = new PermitStore();
    store.add("t/1", { expiresAt: 250, extendsOthers }, 0);
    store.add("t/1", { expiresAt: 400, extendsOthers }, 150);
    const counts = [200, 300, 400].map((now) => store.countOf("t/1", now));
    expect(counts).toEqual(expected);
  }

  it("does not let a new permit prolong an earlier one", () =>
    doTest(false, [2, 1, 0]));

  it("lets it do so where the target tolerates bursts", () =>
    doTest(true, [2, 2, 0]));

  it("uses the permit that expires first", () => {
    const store = new PermitStore();
    store.add("t/1", { expiresAt: 400, extendsOthers: false }, 0);
    store.add("t/1", { expiresAt: 250, extendsOthers: false }, 0);
    expect(store.use("t/1", 100).countOf("t/1", 300)).toBe(1);
    expect(store.use("t/1", 300).countOf("t/1", 300)).toBe(0);
    expect(store.use("t/1", 300).countOf("t/1", 300)).toBe(0);
  });
});

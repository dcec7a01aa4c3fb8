import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { ServiceShare } from "./policy_document.ts";
import {
  namesService,
  pickService,
  sendableSharesOf,
} from "./service_shares.ts";

/** Picks for each set of shares. */
const PICKS = 2_000;
/** Standard deviations by which a count may differ from its share. */
const MAX_DEVIATIONS = 5;

/** Shares with zeros at any place, of which one at least is positive. */
const SHARES = fc.array(
  fc.oneof(fc.constant(0), fc.double({ min: 1e-9, max: 1e9, noNaN: true })),
  { minLength: 1, maxLength: 6 },
)
  .filter((weights) => weights.some((weight) => weight > 0))
  .map((weights): ServiceShare[] =>
    weights.map((weight, i) => ({ service: `s${i}`, weight }))
  );

describe(pickService.name, () => {
  function doTest(
    check: (shares: readonly ServiceShare[], prefix: string) => void,
    numRuns: number,
  ) {
    fc.assert(fc.property(SHARES, fc.string(), check), { numRuns, seed: 59 });
  }

  // Guards against items that run at a service to which no share is given.
  it("never picks a service of weight 0", () =>
    doTest((shares, id) => {
      const service = pickService({ shares }, id);
      expect(shares.find((k) => k.service === service)?.weight)
        .toBeGreaterThan(0);
    }, 5_000));

  it("keeps each share within its binomial bound", () =>
    doTest((shares, prefix) => {
      const counts = new Map<string, number>();
      for (let i = 0; i < PICKS; i += 1) {
        const service = pickService({ shares }, `${prefix}-${i}`);
        counts.set(service, (counts.get(service) ?? 0) + 1);
      }
      const total = shares.reduce((sum, { weight }) => sum + weight, 0);
      for (const { service, weight } of shares) {
        const p = weight / total;
        const bound = MAX_DEVIATIONS * Math.sqrt(PICKS * p * (1 - p)) + 1;
        const off = Math.abs((counts.get(service) ?? 0) - PICKS * p);
        expect(off).toBeLessThanOrEqual(bound);
      }
    }, 40));

  it("picks the same service for the same identifier", () =>
    doTest((shares, id) => {
      const again = [...shares, { service: "unused", weight: 0 }];
      expect(pickService({ shares: again }, id))
        .toBe(pickService({ shares }, id));
    }, 500));
});

describe(sendableSharesOf.name, () => {
  it("leaves out services of weight 0, which the route still names", () => {
    const shares = [
      { service: "a", weight: 0 },
      { service: "b", weight: 2 },
    ];
    expect(sendableSharesOf({ shares })).toEqual([shares[1]]);
    expect(namesService({ shares }, "a")).toBe(true);
    expect(namesService({ shares }, "c")).toBe(false);
  });
});

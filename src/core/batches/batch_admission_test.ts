import { describe, expect, it } from "vitest";
import {
  simulateAdmission,
  type WorkspaceFigures,
} from "../../../tests/support/admission_simulation.ts";
import { type AdmissionInput, decideAdmission } from "./batch_admission.ts";

const TIMEOUT_MS = 120_000;
/** Difference between the share of a workspace and its fair share. */
const MAX_SHARE_ERROR = 0.1;
const GROUPS = { large: 40, small: 6, other: 6 };

type Figures = ReadonlyMap<string, WorkspaceFigures>;

function sumOf(figures: Figures, valueOf: (w: WorkspaceFigures) => number) {
  return [...figures.values()].reduce((sum, w) => sum + valueOf(w), 0);
}

/** Gets the fair share of each workspace in the capacity. */
function fairSharesOf(demand: number): ReadonlyMap<string, number> {
  const ascending = Object.entries(GROUPS).sort(([, a], [, b]) => a - b);
  const capacity = ascending.reduce((sum, [, n]) => sum + n, 0) / demand;
  let left = capacity;
  return new Map(ascending.map(([name, count], index) => {
    const share = Math.min(count, left / (ascending.length - index));
    left -= share;
    return [name, share / capacity];
  }));
}

describe(`${decideAdmission.name} under load`, () => {
  function doTest(
    demand: number,
    check: (admission: Figures, today: Figures) => void,
  ) {
    for (const giveUpMs of [10_000, 20_000]) {
      for (const seed of demand > 1 ? [3, 5] : [3, 5, 7, 11]) {
        const [today, admission] = [false, true].map((hasAdmission) => {
          const figures = simulateAdmission({
            groups: GROUPS,
            demand,
            hasAdmission,
            giveUpMs,
            seed,
          });
          const total = sumOf(figures, ({ tokens }) => tokens);
          for (const [name, w] of figures) {
            console.info(
              `| ${demand} | ${giveUpMs / 1_000} s | ${seed} | ` +
                `${hasAdmission ? "admission" : "today"} | ${name} | ` +
                `${(w.complete / w.groups).toFixed(2)} | ` +
                `${(w.inTime / w.groups).toFixed(2)} | ` +
                `${(w.tokens / total).toFixed(2)} | ` +
                `${w.refused} of ${w.submitted} | ` +
                `${(w.meanWaitMs / 1_000).toFixed(1)} s |`,
            );
          }
          return figures;
        });
        check(admission, today);
        // A refused batch must have run nothing.
        expect(sumOf(admission, ({ refusedRan }) => refusedRan)).toBe(0);
      }
    }
  }

  for (const demand of [0.6, 1]) {
    it(
      `changes nothing at ${100 * demand}% of the capacity`,
      () =>
        doTest(demand, (admission, today) => {
          expect(sumOf(admission, ({ refused }) => refused)).toBe(0);
          expect(admission).toEqual(today);
        }),
      TIMEOUT_MS,
    );
  }

  for (const demand of [1.5, 3]) {
    it(
      `completes no fewer groups before callers give up at ${100 * demand}%`,
      () =>
        doTest(demand, (admission, today) => {
          expect(sumOf(admission, ({ complete }) => complete))
            .toBeGreaterThanOrEqual(sumOf(today, ({ complete }) => complete));
          // Small workspaces are below their share, so they are not refused.
          expect(admission.get("small")?.refused).toBe(0);
          expect(admission.get("other")?.refused).toBe(0);
          const total = sumOf(admission, ({ tokens }) => tokens);
          for (const [name, share] of fairSharesOf(demand)) {
            const error = admission.get(name)!.tokens / total - share;
            expect(Math.abs(error)).toBeLessThan(MAX_SHARE_ERROR);
          }
        }),
      TIMEOUT_MS,
    );
  }
});

describe(decideAdmission.name, () => {
  /** Work for 8 s before a batch of 4 s, which gives up after 8 s. */
  const CROWDED: AdmissionInput = {
    batch: "b",
    workspace: "w",
    items: 8,
    tokens: 4_000,
    giveUpInMs: 8_000,
    preceding: [{
      workspace: "w",
      isMoreUrgent: false,
      giveUpInMs: 8_000,
      tokens: 8_000,
      place: "p",
      placeTokensPerMs: 1,
    }],
    openItems: 100,
    capacity: { slots: 10, tokensPerMs: 1, startableTokensPerMs: 0, bootMs: 0 },
    drainTokensPerMs: 1,
    leadingMs: 6_000,
  };
  const [work] = CROWDED.preceding;

  function doTest(change: Partial<AdmissionInput>, reason: string) {
    const decision = decideAdmission({ ...CROWDED, ...change });
    expect(decision.reason).toBe(reason);
    expect(decision.isAdmitted)
      .toBe(!["urgentWork", "aboveShare"].includes(reason));
    if (decision.isAdmitted) return;
    expect(decision.retryAfterMs).toBeGreaterThanOrEqual(300);
    expect(decision.retryAfterMs).toBeLessThanOrEqual(10_000);
  }

  it("refuses what cannot be complete in time", () => doTest({}, "aboveShare"));

  // Each of the following guards against the refusal of a batch that may fit.
  it("refuses nothing as a new leader", () =>
    doTest({ leadingMs: 4_900 }, "unknown"));

  it("refuses nothing without a drain rate", () =>
    doTest({ drainTokensPerMs: undefined }, "unknown"));

  it("refuses nothing without known targets", () =>
    doTest({ capacity: undefined }, "unknown"));

  it("refuses no batch for which slots are free", () =>
    doTest({ openItems: 2 }, "idle"));

  it("refuses no batch for its own length alone", () => {
    doTest({ preceding: [], tokens: 1_000_000 }, "idle");
    doTest({
      preceding: [{ ...work, tokens: 4_000 }],
      tokens: 1_000_000,
    }, "fits");
  });

  it("counts what the queue drains if paces say less", () =>
    doTest({ drainTokensPerMs: 1.3 }, "fits"));

  it("counts targets that can start in time, and no others", () => {
    const capacity = { slots: 10, tokensPerMs: 0, startableTokensPerMs: 4 };
    const drainTokensPerMs = 0.001;
    doTest(
      { capacity: { ...capacity, bootMs: 4_000 }, drainTokensPerMs },
      "fits",
    );
    doTest(
      { capacity: { ...capacity, bootMs: 9_000 }, drainTokensPerMs },
      "aboveShare",
    );
  });

  it("counts no work that is abandoned before the batch gives up", () =>
    doTest({ preceding: [{ ...work, giveUpInMs: 1_000 }] }, "fits"));

  it("counts no more work than the targets of other batches can do", () =>
    doTest(
      { preceding: [{ ...work, tokens: 90_000, placeTokensPerMs: 0.4 }] },
      "fits",
    ));

  it("refuses no workspace below its share while another is above", () => {
    doTest({ preceding: [{ ...work, workspace: "v" }] }, "fits");
    doTest({
      preceding: [
        { ...work, workspace: "v", tokens: 10_000, placeTokensPerMs: 2 },
        { ...work, tokens: 2_000, place: "q" },
      ],
    }, "belowShare");
  });

  it("leaves less urgent work a part beside urgent work", () => {
    const urgent = { ...work, workspace: "v", isMoreUrgent: true };
    doTest({ preceding: [{ ...urgent, tokens: 90_000 }] }, "urgentWork");
    doTest(
      { preceding: [{ ...urgent, tokens: 90_000 }], tokens: 2_000 },
      "fits",
    );
  });
});

import { describe, expect, it } from "vitest";
import { createSpec } from "../../../tests/support/batch_spec.ts";
import { type AdmissionDecision, BatchState } from "../../core/batches/mod.ts";
import { RefusalError, Verdict } from "../../core/verdict/mod.ts";
import { BatchIntake, type LedgerService } from "./batch_intake.ts";

const spec = createSpec();
const FIGURES = {
  precedingTokens: 9,
  capacityTokens: 5,
  shareTokens: 5,
  usedTokens: 9,
};
const REFUSED: AdmissionDecision = {
  ...FIGURES,
  isAdmitted: false,
  reason: "aboveShare",
  retryAfterMs: 900,
};
const ADMITTED: AdmissionDecision = {
  ...FIGURES,
  isAdmitted: true,
  reason: "fits",
  retryAfterMs: 0,
};

interface Scenario {
  readonly decisions: readonly AdmissionDecision[];
  readonly isLeader?: boolean;
  /** Whether committed entries of the leader wait for its write. */
  readonly isWriting?: boolean;
  /** Happens while leadership is confirmed. */
  readonly onConfirm?: (state: BatchState) => void;
  /** Happens before the batch is submitted. */
  readonly before?: (intake: BatchIntake, state: BatchState) => Promise<void>;
  /** Answers to proposals before they take effect. */
  readonly failures?: readonly RefusalError[];
}

function createIntake(
  { decisions, isLeader = true, isWriting = false, ...options }: Scenario,
) {
  const state = new BatchState();
  const proposed: string[] = [];
  const logged: string[] = [];
  const failures = [...options.failures ?? []];
  const left = [...decisions];
  const service = {
    state,
    leadsTerm: isLeader && !isWriting ? 1 : undefined,
    takesCommands: isLeader,
    confirmLeadership: () => {
      options.onConfirm?.(state);
      return Promise.resolve();
    },
    propose: (command: Parameters<BatchState["apply"]>[0]) => {
      proposed.push(command.type);
      const failure = failures.shift();
      if (failure !== undefined) return Promise.reject(failure);
      return Promise.resolve(state.apply(command));
    },
  };
  const intake = new BatchIntake({
    service: service as unknown as LedgerService,
    admission: () => ({
      decide: () => left.shift() ?? REFUSED,
      onRefused: (_spec, { reason }) => void logged.push(reason),
    }),
  });
  return { intake, state, proposed, logged };
}

describe(`${BatchIntake.name} with admission`, () => {
  async function doTest(scenario: Scenario, isAccepted: boolean) {
    const { intake, state, proposed, logged } = createIntake(scenario);
    await scenario.before?.(intake, state);
    const submitted = intake.submit({ spec });
    if (isAccepted) {
      expect(await submitted).toBe(true);
      expect(logged).toEqual([]);
      return;
    }
    await expect(submitted).rejects.toMatchObject({
      reason: "deadlineUnreachable",
      status: 503,
      verdict: Verdict.NotRun,
      retryAfterMs: 900,
    });
    // A refused batch must never run: nothing of it may enter the log.
    expect(proposed).toEqual([]);
    expect(state.get(spec.id)).toBeUndefined();
    expect(logged).toEqual(["aboveShare"]);
  }

  it("refuses a batch as not run and proposes nothing", () =>
    doTest({ decisions: [REFUSED, REFUSED] }, false));

  it("accepts a refused batch that is sent again and then fits", async () => {
    const { intake, proposed } = createIntake({
      decisions: [REFUSED, REFUSED, ADMITTED],
    });
    await expect(intake.submit({ spec })).rejects.toThrow();
    expect(await intake.submit({ spec })).toBe(true);
    expect(proposed).toEqual(["accept"]);
  });

  it("accepts a batch that fits by the time of the second decision", () =>
    doTest({ decisions: [REFUSED, ADMITTED] }, true));

  it("acknowledges a batch that was accepted before", () =>
    doTest({
      decisions: [REFUSED, REFUSED],
      before: (_intake, state) => {
        state.apply({ type: "accept", spec });
        return Promise.resolve();
      },
    }, true));

  it("acknowledges a batch whose entry of an earlier leader was not applied", () =>
    doTest({
      decisions: [REFUSED, REFUSED],
      onConfirm: (state) => void state.apply({ type: "accept", spec }),
    }, true));

  it("refuses no batch whose earlier proposal may take effect later", () =>
    doTest({
      decisions: [ADMITTED],
      failures: [
        new RefusalError("controlUnavailable", Verdict.MayHaveRun),
      ],
      before: async (intake) => {
        await expect(intake.submit({ spec })).rejects.toThrow();
      },
    }, true));

  it("leaves the answer to the log if this replica does not lead", () =>
    doTest({ decisions: [], isLeader: false }, true));

  it("leaves the answer to the log if leadership is lost meanwhile", () =>
    doTest({
      decisions: [REFUSED],
      onConfirm: () => {
        throw new RefusalError("controlUnavailable", Verdict.MayHaveRun);
      },
    }, true));
});

describe(`${BatchIntake.name} with ends`, () => {
  const params = { workspace: spec.workspace, batch: spec.id };

  it("proposes the end of an open batch", async () => {
    const { intake, state, proposed } = createIntake({ decisions: [] });
    state.apply({ type: "accept", spec });
    expect(await intake.end(params)).toBe(true);
    expect(proposed).toEqual(["end"]);
    expect(state.get(spec.id)?.isEnded).toBe(true);
  });

  // Guards against ends without an answer while writes take longer than an attempt.
  it.each([false, true])(
    "acknowledges the end of an ended batch without another write (writing: %s)",
    async (isWriting) => {
      const { intake, state, proposed } = createIntake({
        decisions: [],
        isWriting,
      });
      state.apply({ type: "accept", spec });
      state.apply({ type: "end", batch: spec.id });
      expect(await intake.end(params)).toBe(true);
      expect(proposed).toEqual([]);
    },
  );

  // Guards against items that run on at a leader that has not applied the end.
  it("leaves an ended batch to the leader if this replica does not lead", async () => {
    const { intake, state, proposed } = createIntake({
      decisions: [],
      isLeader: false,
    });
    state.apply({ type: "accept", spec });
    state.apply({ type: "end", batch: spec.id });
    await intake.end(params);
    expect(proposed).toEqual(["end"]);
  });

  // Guards against a batch that is accepted after its end was refused for good.
  it("does not refuse the end of a batch whose acceptance is unsettled", async () => {
    const { intake, proposed } = createIntake({
      decisions: [ADMITTED],
      failures: [new RefusalError("controlUnavailable", Verdict.MayHaveRun)],
    });
    await expect(intake.submit({ spec })).rejects.toThrow();
    await expect(intake.end(params)).rejects
      .toMatchObject({ reason: "ledgerUnavailable", verdict: Verdict.NotRun });
    expect(proposed).toEqual(["accept"]);
  });

  it("refuses the end of an unknown batch", async () => {
    const { intake } = createIntake({ decisions: [] });
    await expect(intake.end(params)).rejects
      .toMatchObject({ reason: "notFound" });
  });
});

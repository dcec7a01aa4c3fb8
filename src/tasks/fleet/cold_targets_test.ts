import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { TargetRegistry, TargetState } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { ColdTargets } from "./cold_targets.ts";

const SLOW_START = { durationMs: 3_000, requestsPerS: 8 };

describe(ColdTargets.name, () => {
  /** A target that reports itself cold, and the events of checks. */
  class Setup {
    readonly registry = new TargetRegistry();
    readonly events: string[] = [];
    readonly cold: ColdTargets;
    now = 0;
    outdatedMs = 0;
    slowStart: typeof SLOW_START | undefined = SLOW_START;

    constructor() {
      const logger = new Logger({ instance: "test", level: "error" });
      logger.event = (name, fields) => {
        this.events.push(`${name} ${fields?.reason}`);
        return logger;
      };
      this.cold = new ColdTargets({
        registry: this.registry,
        getService: () => ({
          name: "s",
          healthPath: "/",
          maxConnections: 8,
          models: [],
          scaling: undefined,
          slowStart: this.slowStart,
        }),
        now: () => this.now,
        outdatedMs: () => this.outdatedMs,
        logger,
        metrics: new Metrics({ tags: {} }),
      });
      this.merge(1, 2_000);
      this.cold.check();
      this.cold.check();
    }

    merge(
      sequence: number,
      coldMs: number,
      state: TargetState = TargetState.Ready,
    ): void {
      this.registry
        .merge(createReport({ sequence, coldMs, state }), this.now);
    }
  }

  function doTest(expected: string, change: (setup: Setup) => void) {
    const setup = new Setup();
    change(setup);
    setup.cold.check();
    setup.cold.check();
    expect(setup.events).toEqual(["targetCold reported", expected]);
  }

  it("logs a target that is cold, and warm once its time has passed", () =>
    doTest("targetWarm elapsed", (setup) => {
      setup.now = 2_500;
    }));

  it("logs a target that is warm earlier than expected", () =>
    doTest("targetWarm withdrawn", (setup) => setup.merge(2, 0)));

  it("logs a target that leaves while it is cold", () =>
    doTest(
      "targetWarm gone",
      (setup) => setup.merge(2, 1_000, TargetState.Draining),
    ));

  it("logs targets that a policy without slow start frees", () =>
    doTest("targetWarm withdrawn", (setup) => {
      setup.slowStart = undefined;
    }));

  it("does not take a target for warm while nothing is heard of it", () => {
    const setup = new Setup();
    const target = setup.registry.getReportOrThrow("t1");
    setup.now = 60_000;
    setup.outdatedMs = 59_000;
    expect(setup.cold.rateOf(target)).toBe(SLOW_START.requestsPerS);
    setup.outdatedMs = 0;
    expect(setup.cold.rateOf(target)).toBeUndefined();
  });

  it("takes a target for cold whose process may have been replaced", () => {
    const setup = new Setup();
    setup.merge(2, 0);
    const target = setup.registry.getReportOrThrow("t1");
    setup.cold.onLost(target);
    expect(setup.cold.rateOf(target)).toBe(SLOW_START.requestsPerS);
    setup.now = 1_000;
    expect(setup.cold.rateOf(target)).toBeUndefined();
  });

  it("leaves a target that was warm at the loss of contact as it was", () => {
    const setup = new Setup();
    const target = setup.registry.getReportOrThrow("t1");
    setup.now = 60_000;
    setup.outdatedMs = 50_000;
    expect(setup.cold.rateOf(target)).toBeUndefined();
  });
});

import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import {
  type FleetCommand,
  type FleetCommandResult,
  FleetRole,
  FleetState,
  Roster,
} from "../../core/fleet/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import {
  type EvacuationOrder,
  EvacuationService,
} from "./evacuation_service.ts";

const unavailable = (verdict: Verdict) =>
  new RefusalError(RefusalReason.ControlUnavailable, verdict);

describe(EvacuationService.name, () => {
  /** Gets the evacuated data centres, or the reason of the refusal. */
  async function doTest(
    options: {
      readonly order?: Partial<EvacuationOrder>;
      readonly regions?: Readonly<Record<string, string>>;
      /** Failures of the first proposals. */
      readonly failures?: readonly RefusalError[];
      /** Commands of others that the leader has applied before. */
      readonly earlier?: readonly FleetCommand[];
    },
    expected: readonly string[] | RefusalReason,
  ): Promise<RefusalError | undefined> {
    const leader = new FleetState();
    for (const command of options.earlier ?? []) leader.apply(command);
    const failures = [...options.failures ?? []];
    const registry = new TargetRegistry();
    registry.merge(createReport({ dataCentre: "t" }), 0);
    const roster = new Roster().mergeEntries([{
      id: "10.0.0.2",
      name: "entry-1",
      role: FleetRole.Entry,
      dataCentre: "m",
      leadsTerm: undefined,
    }], 0);
    const service = new EvacuationService({
      node: {
        settings: { dataCentre: "own", regions: options.regions } as never,
        roster,
        now: 0,
        logger: new Logger({ instance: "test", level: "error" }),
        metrics: new Metrics({ tags: {} }),
      },
      registry,
      publisher: { publishEvacuations: () => {} },
      // The replica asked has applied none of the leader's commands.
      state: () => new FleetState(),
      now: () => 0,
      propose: (command): Promise<FleetCommandResult> => {
        const failure = failures.shift();
        return failure === undefined
          ? Promise.resolve(leader.apply(command))
          : Promise.reject(failure);
      },
    });
    const order = {
      type: "evacuate",
      dataCentre: "t",
      isAwaited: () => true,
      ...options.order,
    } as const;
    const refusal = await service.order(order)
      .then(() => undefined, (err) => err as RefusalError);
    const seen = refusal?.reason ?? [...leader.evacuations.dataCentres];
    expect(seen).toEqual(expected);
    return refusal;
  }

  it("accepts the data centres of members, targets and its own", async () => {
    for (const dataCentre of ["own", "m", "t"]) {
      await doTest({ order: { dataCentre } }, [dataCentre]);
    }
  });

  it("refuses a data centre that is not known", () =>
    doTest({ order: { dataCentre: "x" } }, RefusalReason.NotFound));

  // Guards against orders for data centres that the deployment does not list.
  it("accepts the data centres of the settings alone, if they list any", async () => {
    const regions = { s: "north" };
    await doTest({ regions, order: { dataCentre: "s" } }, ["s"]);
    await doTest({ regions }, RefusalReason.NotFound);
  });

  // Guards against an order lost by a replica that lags behind the leader.
  it("bases the order on the leader's version if its own is older", () =>
    doTest({
      earlier: [{ type: "evacuate", dataCentre: "m", after: 0 }],
    }, ["m", "t"]));

  // Guards against a refusal where the next leader could commit the order.
  it("proposes again through a change of the leader", () =>
    doTest({
      failures: [
        unavailable(Verdict.NotRun),
        unavailable(Verdict.MayHaveRun),
      ],
    }, ["t"]));

  // Guards against an order carried out after its sender has turned elsewhere.
  it("stops when its sender has left, and says that it may have run", async () => {
    const refusal = await doTest({
      order: { isAwaited: () => false },
      failures: [unavailable(Verdict.MayHaveRun)],
    }, RefusalReason.ControlUnavailable);
    expect(refusal?.verdict).toBe(Verdict.MayHaveRun);
  });
});

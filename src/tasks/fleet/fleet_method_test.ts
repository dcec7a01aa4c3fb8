import { describe, expect, it } from "vitest";
import { type EvacuationUpdate, FleetState } from "../../core/fleet/mod.ts";
import { createConfirmReply } from "./fleet_method.ts";

describe(createConfirmReply, () => {
  function doTest(
    version: number | undefined,
    expected: EvacuationUpdate | undefined,
  ) {
    const state = new FleetState();
    state.apply({ type: "evacuate", dataCentre: "a", after: 0 });
    state.apply({ type: "evacuate", dataCentre: "b", after: 1 });
    const { evacuations } = createConfirmReply(state, {
      revision: 0,
      instance: "10.0.0.1",
      life: "1",
      usage: {},
      suspicionVersion: undefined,
      ...(version === undefined ? {} : { evacuationVersion: version }),
    });
    expect(evacuations).toEqual(expected);
  }

  // Guards against an instance that misses the notices and sends on.
  it("has the evacuated data centres for an instance that is behind", () => {
    const update = { version: 2, dataCentres: ["a", "b"] };
    doTest(0, update);
    doTest(1, update);
    doTest(undefined, update);
  });

  it("has none for an instance that is up to date", () => doTest(2, undefined));
});

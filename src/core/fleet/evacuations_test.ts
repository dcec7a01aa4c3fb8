import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type EvacuationCommand, Evacuations } from "./evacuations.ts";

function order(
  type: EvacuationCommand["type"],
  dataCentre: string,
  after: number,
): EvacuationCommand {
  return { type, dataCentre, after };
}

describe(Evacuations.name, () => {
  function doTest(
    commands: readonly EvacuationCommand[],
    expected: {
      readonly results: readonly string[];
      readonly dataCentres: readonly string[];
    },
  ) {
    const evacuations = new Evacuations();
    const results = commands.map((command) => evacuations.apply(command).type);
    const dataCentres = [...evacuations.dataCentres];
    expect({ results, dataCentres }).toEqual(expected);
    const copy = new Evacuations().load(structuredClone(evacuations.save()));
    expect(copy.save()).toEqual(evacuations.save());
  }

  // Guards against a second change, and version, for an order sent twice.
  it("changes nothing for a repeated order, whatever it is based on", () => {
    doTest([order("evacuate", "a", 0), order("evacuate", "a", 0)], {
      results: ["done", "unchanged"],
      dataCentres: ["a"],
    });
  });

  // Guards against one evacuation that ends or replaces another.
  it("keeps the evacuations of data centres apart", () => {
    doTest([
      order("evacuate", "a", 0),
      order("evacuate", "b", 1),
      order("readmit", "a", 2),
    ], { results: ["done", "done", "done"], dataCentres: ["b"] });
  });

  // Guards against requests to a data centre whose evacuation has begun again.
  it("ignores a delayed copy of an earlier order", () => {
    const readmit = order("readmit", "a", 1);
    doTest([
      order("evacuate", "a", 0),
      readmit,
      order("evacuate", "a", 2),
      readmit,
    ], {
      results: ["done", "done", "done", "outdated"],
      dataCentres: ["a"],
    });
  });

  // Guards against older state that overrides newer state at an instance.
  it("grows its version with each change, and with nothing else", () => {
    const commands = fc.array(fc.record({
      type: fc.constantFrom("evacuate" as const, "readmit" as const),
      dataCentre: fc.constantFrom("a", "b"),
      lag: fc.constantFrom(0, 1),
    }));
    fc.assert(
      fc.property(commands, (list) => {
        const evacuations = new Evacuations();
        for (const { lag, ...command } of list) {
          const { version, dataCentres } = evacuations;
          const after = version - lag;
          const result = evacuations.apply({ ...command, after });
          const isChanged = result.type === "done";
          expect(evacuations.version).toBe(version + (isChanged ? 1 : 0));
          expect(evacuations.dataCentres !== dataCentres).toBe(isChanged);
        }
      }),
      { seed: 20_301 },
    );
  });
});

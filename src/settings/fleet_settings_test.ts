import { describe, expect, it } from "vitest";
import { fleetSettingsSchema } from "./fleet_settings.ts";

describe("fleet settings", () => {
  const { regions } = fleetSettingsSchema.shape;

  function doTest(value: unknown, expected: unknown) {
    expect(regions.parse(value)).toEqual(expected);
  }

  it("take a table of regions", () =>
    doTest({ "nl-1": "north" }, { "nl-1": "north" }));

  // Guards against a deployment without the table in which no data centre is
  // known, and none can be evacuated.
  it("take an empty table for none", () => {
    doTest(undefined, undefined);
    doTest(null, undefined);
    doTest({}, undefined);
  });

  it("refuse a table with other values", () => {
    expect(() => doTest({ "nl-1": 1 }, undefined)).toThrow();
  });
});

describe("fleet settings of a machine's limits", () => {
  const { limits } = fleetSettingsSchema.shape;

  function doTest(value: unknown, expected: number | undefined) {
    expect(limits.parse(value).memoryMb).toBe(expected);
  }

  it("take its memory", () => doTest({ memoryMb: 346 }, 346));

  it("are valid without it", () => {
    doTest(undefined, undefined);
    doTest(null, undefined);
    doTest({}, undefined);
    doTest({ memoryMb: null }, undefined);
    doTest({ memoryMb: 0 }, undefined);
  });

  it("refuse a memory that is no number or negative", () => {
    expect(() => doTest({ memoryMb: "346" }, undefined)).toThrow();
    expect(() => doTest({ memoryMb: -1 }, undefined)).toThrow();
  });
});

describe("optional fleet settings", () => {
  const { shape } = fleetSettingsSchema;

  function doTest(name: keyof typeof shape, expected: unknown) {
    for (const none of [undefined, null]) {
      expect(shape[name].parse(none)).toBe(expected);
    }
  }

  // Guards against a process that ends over a value it could do without.
  it("may be absent, null or empty", () => {
    doTest("peerListenPort", undefined);
    doTest("dataFolder", undefined);
    doTest("metrics", undefined);
    doTest("receiver", undefined);
    doTest("logLevel", "info");
    expect(shape.dataFolder.parse("")).toBeUndefined();
    expect(
      shape.listen.parse({ callers: null, readiness: "", control: undefined }),
    ).toEqual({});
    expect(shape.orders.parse({ leaseMs: null, areFencesChecked: null }))
      .toEqual({ leaseMs: 3_000, areFencesChecked: true });
  });

  it("are refused in another form", () => {
    for (const odd of ["127.0.0.1", 9_464, {}]) {
      expect(() => shape.metrics.parse(odd)).toThrow();
    }
    expect(() => shape.logLevel.parse("loud")).toThrow();
  });
});

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

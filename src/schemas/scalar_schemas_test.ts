import { describe, expect, it } from "vitest";
import type * as z from "zod";
import {
  addressSchema,
  coldMsSchema,
  identifierSchema,
  incarnationSchema,
  instanceIdSchema,
  sequenceSchema,
  slotsSchema,
  weightVersionSchema,
} from "./scalar_schemas.ts";

describe("schemas of scalars", () => {
  function doTest(
    schema: z.ZodType,
    accepted: readonly unknown[],
    refused: readonly unknown[],
  ) {
    const accepts = (value: unknown) => schema.safeParse(value).success;
    expect(accepted.filter((value) => !accepts(value))).toEqual([]);
    expect(refused.filter(accepts)).toEqual([]);
  }

  it("refuse addresses that no target can have", () =>
    doTest(
      addressSchema,
      ["10.1.2.3:1", "255.0.0.1:65535", "127.0.0.1:8080"],
      [
        "10.1.2.3:99999",
        "10.1.2.3:65536",
        "10.1.2.3:0",
        "10.1.2.3:080",
        "10.1.2.3",
        "10.1.2.3:80:1",
        "999.1.2.3:80",
        "1.2.3:80",
        "host:80",
        7,
        null,
      ],
    ));

  it("refuse identifiers of instances that are no addresses", () =>
    doTest(instanceIdSchema, ["10.1.2.3"], ["bad id", "10.1.2.3:80", 7, ""]));

  it("refuse identifiers that a header cannot hold", () =>
    doTest(identifierSchema, ["i-7f3a"], ["", "a b", "a\r\nb", "é", 7]));

  it("refuse counts that are too large for their meaning", () => {
    doTest(slotsSchema, [1, 65_535], [0, 1.5, 65_536, 1e15, NaN, "4"]);
    doTest(sequenceSchema, [0, 1.8e12], [-1, 1e300, Infinity, 2 ** 53]);
    doTest(weightVersionSchema, [0, 1, 2e9], [-1, 0.5, 2 ** 53 - 1, 1e300]);
  });

  it("refuse a start in the future, beyond differences of clocks", () =>
    doTest(
      incarnationSchema,
      [0, Date.now(), Date.now() + 5_000],
      [-1, 0.5, Date.now() + 86_400_000, 2 ** 53 - 1, 1e300],
    ));

  it("refuse cold times that are too long, and take past ones for none", () => {
    doTest(coldMsSchema, [0, 12.5, 60_000], [1e300, Infinity, "1"]);
    expect(coldMsSchema.parse(-3)).toBe(0);
  });
});

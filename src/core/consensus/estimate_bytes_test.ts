import { pack } from "msgpackr";
import { describe, expect, it } from "vitest";
import { estimateBytes } from "./estimate_bytes.ts";

describe(estimateBytes.name, () => {
  /** Expects an estimate between the encoded size and twice that. */
  function doTest(value: unknown) {
    const bytes = pack(value).length;
    expect(estimateBytes(value)).toBeGreaterThanOrEqual(bytes);
    expect(estimateBytes(value)).toBeLessThan(2 * bytes);
  }

  it("counts texts", () => doTest(["a".repeat(500), "b".repeat(300)]));
  it("counts bytes", () => doTest({ body: new Uint8Array(1_000) }));
  it("counts members of nested objects", () => {
    const item = { name: "n".repeat(30), text: "t".repeat(60) };
    doTest({ items: Array.from({ length: 50 }, () => item) });
  });
});

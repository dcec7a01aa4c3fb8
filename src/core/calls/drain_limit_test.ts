import { describe, expect, it } from "vitest";
import { RouteKind } from "../policy/mod.ts";
import { limitToDrain } from "./drain_limit.ts";

describe(limitToDrain.name, () => {
  function doTest(
    kind: RouteKind,
    { timeMs, leftMs }: { timeMs: number; leftMs: number },
    expected: number | undefined,
  ) {
    const route = { kind, objectiveMs: 200 };
    expect(limitToDrain({ route, timeMs, leftMs })).toBe(expected);
  }

  it("leaves a request its time if the instance outlives it", () =>
    doTest(RouteKind.NonIdempotent, { timeMs: 2_000, leftMs: 2_000 }, 2_000));

  it("bounds a request that is expected to end before", () => {
    doTest(RouteKind.Idempotent, { timeMs: 9_000, leftMs: 400 }, 400);
    doTest(RouteKind.NonIdempotent, { timeMs: 9_000, leftMs: 1_600 }, 1_600);
    doTest(RouteKind.Streaming, { timeMs: 9_000, leftMs: 1_600 }, 1_600);
  });

  it("lets no request begin that may not end", () => {
    doTest(RouteKind.Idempotent, { timeMs: 9_000, leftMs: 399 }, undefined);
    doTest(
      RouteKind.NonIdempotent,
      { timeMs: 9_000, leftMs: 1_599 },
      undefined,
    );
    doTest(RouteKind.Streaming, { timeMs: 9_000, leftMs: 1_599 }, undefined);
    doTest(RouteKind.Idempotent, { timeMs: 300, leftMs: 200 }, undefined);
  });
});

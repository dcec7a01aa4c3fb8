/** Batch specifications for tests. */
import type { BatchItem, BatchSpec } from "../../src/core/batches/mod.ts";
import type { ScoringPort } from "../../src/tasks/batches/mod.ts";

/** Port of a runner whose items need no score. */
export const NO_SCORING: ScoringPort = {
  targets: {
    send: () => Promise.reject(new Error("Unexpected scoring call")),
    stream: () => Promise.reject(new Error("Unexpected scoring call")),
    isRefusing: () => Promise.resolve(false),
    closeIdleExcept: () => {},
  },
  policy: () => undefined,
  scoreOf: () => undefined,
};

/** Creates an item whose group is the first letter of its identifier. */
export function createItem(
  id: string,
  fields: Partial<BatchItem> = {},
): BatchItem {
  return {
    id,
    path: "/p/",
    headers: {},
    body: new Uint8Array(),
    tokens: 0,
    group: id[0],
    model: "m",
    expectedTokens: undefined,
    ...fields,
  };
}

/** Creates a batch that accepts any version and is due after 1 s. */
export function createSpec(fields: Partial<BatchSpec> = {}): BatchSpec {
  return {
    id: "b",
    workspace: "w",
    route: "r",
    host: "h",
    service: "s",
    acceptedAt: 0,
    objectiveMs: 1_000,
    giveUpMs: 10_000,
    maxAttempts: 3,
    minVersion: 0,
    isSingleVersion: false,
    desiredGroups: 0,
    items: [],
    ...fields,
  };
}

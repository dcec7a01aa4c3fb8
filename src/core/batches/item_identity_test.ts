import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import type { BatchItem, BatchSpec } from "./batch.ts";
import { BatchRecord, type WaitingItem } from "./batch_record.ts";
import { identityOf, withoutBody } from "./item_identity.ts";

function createWaiting(
  spec: Partial<BatchSpec>,
  fields: Partial<BatchItem> = {},
): WaitingItem {
  const item = createItem("i1", fields);
  const record = new BatchRecord(createSpec({ ...spec, items: [item] }));
  return { record, item };
}

describe(identityOf.name, () => {
  const first = createWaiting({ id: "b1" });

  function doTest(other: WaitingItem, isSame: boolean) {
    const identities = [first, other]
      .map(({ record, item }) => identityOf(record.spec, item));
    expect(identities[0] === identities[1]).toBe(isSame);
  }

  it("is that of the same item in a later batch", () =>
    doTest(createWaiting({ id: "b2" }), true));
  it("differs between workspaces", () =>
    doTest(createWaiting({ workspace: "other" }), false));
  it("differs between bodies", () =>
    doTest(createWaiting({}, { body: Buffer.from("other") }), false));
  it("differs between paths", () =>
    doTest(createWaiting({}, { path: "/other" }), false));
  it("differs between models", () =>
    doTest(createWaiting({}, { model: "other" }), false));
});

describe(withoutBody.name, () => {
  it("keeps the identity of an item, and nothing of its bodies", () => {
    const body = Buffer.from("scoring");
    const scoring = { id: "s", host: "h", path: "/", body };
    const { record, item } = createWaiting({}, { scoring });
    const detached = withoutBody(item);
    expect(identityOf(record.spec, detached))
      .toBe(identityOf(record.spec, item));
    expect(detached.body).toHaveLength(0);
    expect(detached.scoring?.body).toHaveLength(0);
    expect(withoutBody(detached)).toBe(detached);
  });
});

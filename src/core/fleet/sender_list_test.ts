import { describe, expect, it } from "vitest";
import { ControlContact } from "./control_contact.ts";
import { SenderList } from "./sender_list.ts";

describe(SenderList.name, () => {
  it("merges the lists of the control instances", () => {
    const list = new SenderList()
      .update("c1", ["b", "a"], 0)
      .update("c2", ["b", "c"], 10);
    expect(list.all).toEqual(["a", "b", "c"]);
    expect(list.update("c1", ["a"], 20).all).toEqual(["a", "b", "c"]);
    expect(list.update("c2", ["c"], 30).all).toEqual(["a", "c"]);
  });

  it("drops the list of a lost control instance when another one reports", () => {
    const list = new SenderList()
      .update("c1", ["a"], 0)
      .update("c2", ["b"], 0);
    expect(list.update("c2", ["b"], 60_000).all).toEqual(["b"]);
  });
});

describe(ControlContact.name, () => {
  it("dates the known state from the loss of the last link until it is renewed", () => {
    const contact = new ControlContact().update(true, 0);
    expect(contact.knownAt(100)).toBe(-Infinity);
    expect(contact.knownAt(3_000)).toBe(3_000);
    contact.update(true, 4_000).update(false, 5_000);
    expect(contact.knownAt(9_000)).toBe(5_000);
    contact.update(true, 9_000);
    expect(contact.knownAt(10_000)).toBe(5_000);
    contact.update(false, 10_500).update(true, 11_000);
    expect(contact.knownAt(12_900)).toBe(5_000);
    expect(contact.knownAt(13_000)).toBe(13_000);
  });
});

import { describe, expect, it } from "vitest";
import { RefusalError } from "../verdict/mod.ts";
import { KeyDirectory } from "./key_directory.ts";
import { createKeyRecord, formatKey, parseKey } from "./key_record.ts";

const SECRET = "0123456789abcdef";

describe(KeyDirectory.name, () => {
  function create() {
    return new KeyDirectory().put(
      createKeyRecord({
        id: "artis-1",
        workspace: "artis",
        secret: SECRET,
        salt: "aa",
      }),
    );
  }

  function doTest(presented: string | undefined, reason: string) {
    const directory = create();
    directory.put(
      createKeyRecord({
        id: "gone-1",
        workspace: "artis",
        secret: SECRET,
        salt: "bb",
      }),
    ).withdraw("gone-1");
    try {
      directory.authenticateOrThrow(presented);
    } catch (err) {
      expect(err).toBeInstanceOf(RefusalError);
      expect((err as RefusalError).reason).toBe(reason);
      expect((err as RefusalError).verdict).toBe("notRun");
      return;
    }
    expect.fail("Expected a refusal");
  }

  it("accepts a valid key", () => {
    const key = formatKey({ id: "artis-1", secret: SECRET });
    expect(create().authenticateOrThrow(key).workspace).toBe("artis");
  });

  it("rejects a missing key", () => doTest(undefined, "keyMissing"));
  it("rejects a malformed key", () => doTest("nk.x", "keyUnknown"));
  it("rejects an unknown key", () =>
    doTest(formatKey({ id: "other", secret: SECRET }), "keyUnknown"));
  it("rejects a wrong secret", () =>
    doTest(formatKey({ id: "artis-1", secret: SECRET + "x" }), "keyUnknown"));
  it("rejects a withdrawn key", () =>
    doTest(formatKey({ id: "gone-1", secret: SECRET }), "keyWithdrawn"));

  it("does not undo a withdrawal when the record is added again", () => {
    const directory = create();
    const record = directory.get("artis-1");
    directory.withdraw("artis-1");
    if (record !== undefined) directory.put(record);
    expect(directory.isLive("artis-1")).toBe(false);
  });

  it("does not store the secret", () => {
    expect(JSON.stringify(create().list())).not.toContain(SECRET);
    expect(parseKey(formatKey({ id: "a", secret: SECRET }))?.secret)
      .toBe(SECRET);
  });
});

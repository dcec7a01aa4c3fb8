import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { openOrReplace } from "./damaged_folder.ts";
import { DamagedFileError } from "./frame_codec.ts";

describe(openOrReplace.name, () => {
  let parent = "";
  beforeEach(() => {
    parent = mkdtempSync(join(tmpdir(), "damaged-"));
  });
  afterEach(() => rmSync(parent, { recursive: true }));

  async function doTest(error: Error) {
    const folder = join(parent, "log");
    mkdirSync(folder);
    const details: string[] = [];
    const opened = openOrReplace({
      folder,
      open: () =>
        existsSync(folder) ? Promise.reject(error) : Promise.resolve("new"),
      onDamaged: (detail) => details.push(detail),
    });
    return { result: await opened.catch((err: Error) => err), details };
  }

  it("opens a new store in place of a damaged one, which it keeps", async () => {
    const error = new DamagedFileError("log-1", 8);
    expect(await doTest(error))
      .toEqual({ result: "new", details: [error.message] });
    expect(readdirSync(parent)).toEqual([
      expect.stringMatching(/^log\.damaged-\d+$/),
    ]);
  });

  it("renames no folder that cannot be read for another reason", async () => {
    const error = new Error("EIO");
    expect(await doTest(error)).toEqual({ result: error, details: [] });
    expect(readdirSync(parent)).toEqual(["log"]);
  });
});

import { readdirSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { loadDocument, loadSettings } from "../src/settings/mod.ts";

describe("example configurations", () => {
  function doTest(folder: string, instances: number) {
    const files = readdirSync(folder);
    loadDocument(`${folder}/configuration.json`);
    const settings = files
      .filter((file) => file !== "configuration.json")
      .map((file) => loadSettings(`${folder}/${file}`));
    expect(settings).toHaveLength(instances);
    for (const instance of settings) {
      expect(instance.peers).toHaveLength(instances);
    }
  }

  it("of Dierdienst are valid", () => doTest("examples/dierdienst", 8));
  it("of the Office are valid", () => doTest("examples/office", 7));
});

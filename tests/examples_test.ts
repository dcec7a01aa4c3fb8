import { readdirSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { loadDocument, loadSettings } from "../src/settings/mod.ts";

describe("examples", () => {
  function doTest(folder: string, instances: number) {
    const files = readdirSync(folder);
    loadDocument(`${folder}/configuration.json`);
    const settings = files
      .filter((file) => file !== "configuration.json")
      .map((file) => loadSettings(`${folder}/${file}`));
    expect(settings).toHaveLength(instances);
    for (const one of settings) expect(one.peers).toHaveLength(instances);
  }

  it("of Dierdienst have no faults", () => doTest("examples/dierdienst", 8));
  it("of the Office have no faults", () => doTest("examples/office", 7));
});

import { describe, expect, it } from "vitest";
import { renderTemplate } from "./settings_template.ts";

describe(renderTemplate.name, () => {
  function doTest(template: string, expected: string): void {
    const settings = {
      ip: "127.0.0.1",
      none: "",
      zones: { a: "north", b: "south" },
      seeds: ["x", "y"],
      cloud: { address: "127.0.0.2:1", duties: ["usage"] },
    };
    expect(renderTemplate(template, settings)).toBe(expected);
  }

  it("renders values, as JSON too, and nothing for missing ones", () =>
    doTest(
      "{{ip}} {{cloud.duties|json}} {{x.y|json}}",
      '127.0.0.1 ["usage"] ',
    ));

  it("renders a section once for a value, in its scope", () =>
    doTest("{{#ip}}{{.|json}}{{/ip}}", '"127.0.0.1"'));

  it("renders no section for an empty or missing value", () =>
    doTest("{{#none}}a{{/none}}{{#x.y}}b{{/x.y}}{{^none}}c{{/none}}", "c"));

  it("renders a section once for each entry", () =>
    doTest(
      "{{#seeds}}{{.}}{{,}}{{/seeds}} {{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
      "x,y a:north,b:south",
    ));

  it("looks names of a section up in all settings", () =>
    doTest("{{#cloud.address}}{{cloud.duties.0}}{{/cloud.address}}", "usage"));
});

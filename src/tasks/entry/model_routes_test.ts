import { describe, expect, it } from "vitest";
import { ConfigurationView } from "../../core/configuration/mod.ts";
import { findModelRoute } from "./model_routes.ts";

describe(findModelRoute.name, () => {
  const kind = "model";
  const routes = {
    planner: { kind, model: "large", workspaces: ["blijdorp"] },
    first: { kind, model: "small", workspaces: ["blijdorp"] },
    second: { kind, model: "small", workspaces: ["artis"] },
  };
  const document = { workspaces: { artis: {}, blijdorp: {} }, routes };
  const view = new ConfigurationView(document as never, 1);

  function doTest(model: string, workspace: string, expected: string) {
    expect(findModelRoute(view, model, workspace)).toBe(expected);
  }

  it("prefers the route of that name", () =>
    doTest("planner", "artis", "planner"));

  // Guards against a refusal of a model that another route serves to the caller.
  it("finds the route of the model that the workspace may use", () =>
    doTest("small", "artis", "second"));

  // Guards against a refusal as unknown where the workspace may not use it.
  it("finds a route that refuses the workspace if no other serves", () =>
    doTest("large", "artis", "planner"));

  it("returns the name of an unknown model, which is then refused", () =>
    doTest("huge", "artis", "huge"));
});

import { describe, expect, it } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { findPolicyFaults, locatePolicyFaults } from "./policy_check.ts";
import { type PolicyDocument, type RoutePolicy } from "./policy_document.ts";
import { PolicyView } from "./policy_view.ts";

function route(fields: Partial<RoutePolicy>): RoutePolicy {
  return createRoute({ host: "a.example", prefix: "/", ...fields });
}

function document(fields: Partial<PolicyDocument>): PolicyDocument {
  return createPolicy({
    services: [{
      name: "s",
      healthPath: "/",
      maxConnections: 1,
      models: [],
      scaling: undefined,
    }],
    ...fields,
  });
}

describe(PolicyView.name, () => {
  function doTest(host: string, path: string, expected: string | undefined) {
    const view = new PolicyView(document({
      routes: [
        route({ name: "short", prefix: "/a/" }),
        route({ name: "long", prefix: "/a/b/" }),
        route({ name: "other", host: "b.example", prefix: "/a/" }),
      ],
    }));
    expect(view.findRoute(host, path)?.name).toBe(expected);
  }

  it("finds the route with the longest matching prefix of the host", () => {
    doTest("a.example", "/a/x", "short");
    doTest("a.example", "/a/b/c/d", "long");
    doTest("A.example", "/a/b/?q=/a/", "long");
    doTest("b.example", "/a/b/c", "other");
  });

  it("finds no route for other paths and hosts", () => {
    doTest("a.example", "/a", undefined);
    doTest("a.example", "/ab/c", undefined);
    doTest("c.example", "/a/x", undefined);
  });
});

describe(findPolicyFaults.name, () => {
  function doTest(fields: Partial<PolicyDocument>, expected: number) {
    expect(findPolicyFaults(document(fields))).toHaveLength(expected);
  }

  it("accepts a valid document", () => doTest({ routes: [route({})] }, 0));

  it("rejects unknown services", () =>
    doTest({
      routes: [route({ shares: [{ service: "x", weight: 1 }] })],
    }, 1));

  it("rejects two routes with the same host and prefix", () =>
    doTest({ routes: [route({}), route({ name: "q" })] }, 1));

  it("rejects routes without weight or timeout", () =>
    doTest({
      routes: [
        route({ shares: [{ service: "s", weight: 0 }] }),
        route({ prefix: "/b/", timeoutMs: 0 }),
      ],
    }, 2));

  it("rejects an API key that belongs to two workspaces", () =>
    doTest({
      workspaces: [
        { name: "w", keys: ["k", "k"], priority: 1 },
        { name: "v", keys: ["k"], priority: 1 },
      ],
    }, 1));

  it("reports all faults at once", () =>
    doTest({
      routes: [
        route({ shares: [{ service: "x", weight: 0 }] }),
        route({ name: "q" }),
      ],
    }, 3));
});

describe(locatePolicyFaults.name, () => {
  function doTest(
    fields: Partial<PolicyDocument>,
    expected: readonly (readonly (string | number)[])[],
  ) {
    const faults = locatePolicyFaults(document(fields));
    expect(faults.map(({ path }) => path)).toEqual(expected);
    expect(faults.map(({ reason }) => reason))
      .toEqual(findPolicyFaults(document(fields)));
  }

  it("gives the paths of faulty routes", () =>
    doTest({
      routes: [
        route({}),
        route({
          prefix: "/b/",
          shares: [{ service: "s", weight: 1 }, { service: "x", weight: 1 }],
        }),
        route({ prefix: "/c/", timeoutMs: 0, shares: [] }),
        route({}),
      ],
    }, [
      ["routes", 1, "shares", 1, "service"],
      ["routes", 2, "shares"],
      ["routes", 2, "timeoutMs"],
      ["routes", 3],
    ]));

  it("gives the path of a key that two workspaces share", () =>
    doTest({
      workspaces: [
        { name: "a", keys: ["k"], priority: 0 },
        { name: "b", keys: ["l", "k"], priority: 0 },
      ],
    }, [["workspaces", 1, "keys", 1]]));
});

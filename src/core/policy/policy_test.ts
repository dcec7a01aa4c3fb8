import { describe, expect, it } from "vitest";
import { findPolicyFaults } from "./policy_check.ts";
import {
  type PolicyDocument,
  RouteKind,
  type RoutePolicy,
} from "./policy_document.ts";
import { PolicyView } from "./policy_view.ts";

function route(fields: Partial<RoutePolicy>): RoutePolicy {
  return {
    name: "r",
    host: "a.example",
    prefix: "/",
    kind: RouteKind.Idempotent,
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 1,
    shares: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    isAnonymous: false,
    isResumable: false,
    isSingleVersion: false,
    giveUpMs: 1_000,
    resultObjectiveMs: 1_000,
    ...fields,
  };
}

function document(fields: Partial<PolicyDocument>): PolicyDocument {
  return {
    revision: 1,
    routes: [],
    services: [{
      name: "s",
      healthPath: "/",
      maxConnections: 1,
      models: [],
      scaling: undefined,
    }],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: [],
    ...fields,
  };
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

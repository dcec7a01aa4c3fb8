/** Policies and routes for tests. */
import {
  type PolicyDocument,
  RouteKind,
  type RoutePolicy,
} from "../../src/core/policy/mod.ts";

/** Creates an idempotent route to the service `s` that requires a key. */
export function createRoute(fields: Partial<RoutePolicy> = {}): RoutePolicy {
  return {
    name: "r",
    host: "h",
    prefix: "/p/",
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

/** Creates a policy of revision 1 without routes, services and workspaces. */
export function createPolicy(
  fields: Partial<PolicyDocument> = {},
): PolicyDocument {
  return {
    revision: 1,
    routes: [],
    services: [],
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

import { describe, expect, it } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import {
  type PolicyDocument,
  RouteKind,
  type RoutePolicy,
  type ServicePolicy,
  type WorkspacePolicy,
} from "./policy_document.ts";
import { FindingSeverity } from "./policy_finding.ts";
import { reviewPolicy } from "./policy_review.ts";

const ROUTE = createRoute({
  shares: [{ service: "apps", weight: 1 }],
  timeoutMs: 3_000,
  giveUpMs: 60_000,
  resultObjectiveMs: 5_000,
});
const SERVICE: ServicePolicy = {
  name: "apps",
  healthPath: "/",
  maxConnections: 64,
  models: [],
  scaling: undefined,
};
const WORKSPACE: WorkspacePolicy = {
  name: "park",
  keys: ["secret-1"],
  priority: 1,
};
const SCALING = {
  min: 1,
  max: 4,
  bootMs: 0,
  spotPrice: 0.5,
  prices: { "nl-1": 1 },
};
const REGIONS = { "nl-1": "north", "nl-2": "east" };

function document(fields: Partial<PolicyDocument> = {}): PolicyDocument {
  return createPolicy({
    routes: [ROUTE],
    services: [SERVICE],
    workspaces: [WORKSPACE],
    ...fields,
  });
}

function withRoute(fields: Partial<RoutePolicy>): PolicyDocument {
  return document({ routes: [{ ...ROUTE, ...fields }] });
}

function withService(fields: Partial<ServicePolicy>): PolicyDocument {
  return document({ services: [{ ...SERVICE, ...fields }] });
}

function withScaling(fields: Partial<typeof SCALING>): PolicyDocument {
  return withService({ scaling: { ...SCALING, ...fields } });
}

function withWorkspace(fields: Partial<WorkspacePolicy>): PolicyDocument {
  return document({ workspaces: [{ ...WORKSPACE, ...fields }] });
}

function withShares(...weights: number[]): PolicyDocument {
  const services = weights.map((_, i) => ({ ...SERVICE, name: `s${i}` }));
  const shares = weights.map((weight, i) => ({ service: `s${i}`, weight }));
  return document({ services, routes: [{ ...ROUTE, shares }] });
}

describe(reviewPolicy, () => {
  function doTest(
    input: PolicyDocument,
    expected: readonly (readonly [code: string, path: string])[],
  ) {
    const findings = reviewPolicy(input, { regions: REGIONS });
    expect(findings.map(({ code, path }) => [code, path.join(".")]))
      .toEqual(expected);
    expect(JSON.stringify(findings)).not.toContain("secret");
  }

  const cases: readonly (readonly [
    code: string,
    path: string,
    faulty: PolicyDocument,
    sound: PolicyDocument,
  ])[] = [
    [
      "routeNeverMatches",
      "routes.0.prefix",
      withRoute({ prefix: "/plans?all/" }),
      withRoute({ prefix: "/plans/all/" }),
    ],
    [
      "objectiveAboveTimeout",
      "routes.0.objectiveMs",
      withRoute({ objectiveMs: 3_001 }),
      withRoute({ objectiveMs: 3_000 }),
    ],
    [
      "resultObjectiveAboveGiveUp",
      "routes.0.resultObjectiveMs",
      withRoute({ kind: RouteKind.Rollout, resultObjectiveMs: 60_001 }),
      withRoute({ kind: RouteKind.Rollout, resultObjectiveMs: 60_000 }),
    ],
    [
      "timeoutTooShort",
      "routes.0.timeoutMs",
      withRoute({ timeoutMs: 70, objectiveMs: 70 }),
      withRoute({ timeoutMs: 71, objectiveMs: 71 }),
    ],
    [
      "homesDisjoint",
      "routes.0.homes",
      document({
        routes: [{ ...ROUTE, homes: ["north"] }],
        workspaces: [{ ...WORKSPACE, homes: ["east"] }],
      }),
      document({
        routes: [{ ...ROUTE, homes: ["north"] }],
        workspaces: [{ ...WORKSPACE, homes: ["east", "north"] }],
      }),
    ],
    [
      "scalingMinAboveMax",
      "services.0.scaling.min",
      withScaling({ min: 5 }),
      withScaling({ min: 4 }),
    ],
    [
      "slowStartWithoutDuration",
      "services.0.slowStart.durationMs",
      withService({ slowStart: { durationMs: 0, requestsPerS: 1 } }),
      withService({ slowStart: { durationMs: 1, requestsPerS: 1 } }),
    ],
    [
      "priceNotPositive",
      "services.0.scaling.prices.nl-1",
      withScaling({ prices: { "nl-1": 0 } }),
      withScaling({ prices: { "nl-1": 0.1 } }),
    ],
    [
      "priceNotPositive",
      "services.0.scaling.spotPrice",
      withScaling({ spotPrice: -1 }),
      withScaling({ spotPrice: 0.1 }),
    ],
    [
      "serviceUnused",
      "services.1",
      document({ services: [SERVICE, { ...SERVICE, name: "spare" }] }),
      document(),
    ],
    [
      "serviceWithoutWeight",
      "services.1",
      withShares(1, 0),
      withShares(1, 0.1),
    ],
    [
      "serviceHidden",
      "services.0",
      document({ services: [SERVICE, SERVICE] }),
      withShares(1, 1),
    ],
    [
      "workspaceHidden",
      "workspaces.1",
      document({ workspaces: [WORKSPACE, WORKSPACE] }),
      document({ workspaces: [WORKSPACE, { ...WORKSPACE, name: "zoo" }] }),
    ],
    [
      "workspaceWithoutKeys",
      "workspaces.0.keys",
      withWorkspace({ keys: [] }),
      document({
        routes: [{ ...ROUTE, isAnonymous: true }],
        workspaces: [{ ...WORKSPACE, keys: [] }],
      }),
    ],
    [
      "homeUnknown",
      "routes.0.homes",
      withRoute({ homes: ["north", "south"] }),
      withRoute({ homes: ["north", "east"] }),
    ],
    [
      "homeUnknown",
      "workspaces.0.homes",
      withWorkspace({ homes: ["south"] }),
      withWorkspace({ homes: ["east"] }),
    ],
    [
      "attemptsNotRepeated",
      "routes.0.maxAttempts",
      withRoute({ kind: RouteKind.NonIdempotent }),
      withRoute({ kind: RouteKind.NonIdempotent, maxAttempts: 1 }),
    ],
    [
      "attemptsNotRepeated",
      "routes.0.maxAttempts",
      withRoute({ kind: RouteKind.Streaming }),
      withRoute({ kind: RouteKind.Streaming, isResumable: true }),
    ],
  ];

  it.each(cases)(
    "finds %s at %s",
    (code, path, faulty) => doTest(faulty, [[code, path]]),
  );

  it.each(cases)(
    "finds no %s at %s without it",
    (_code, _path, _, sound) => doTest(sound, []),
  );

  it("finds no fault with equal priorities", () =>
    doTest(document({ routes: [ROUTE, { ...ROUTE, prefix: "/b/" }] }), []));

  it("limits a rollout route's results and attempts only on rollout routes", () =>
    doTest(withRoute({ resultObjectiveMs: 60_001 }), []));

  it("finds no short timeout of a rollout route, whose items have others", () =>
    doTest(
      withRoute({ kind: RouteKind.Rollout, timeoutMs: 20, objectiveMs: 20 }),
      [],
    ));

  it("counts a service's weight in all routes", () => {
    const other = {
      ...ROUTE,
      prefix: "/b/",
      shares: [{ service: "s1", weight: 2 }],
    };
    const { services, routes } = withShares(1, 0);
    doTest(document({ services, routes: [...routes, other] }), []);
  });

  it("finds no unknown homes where the regions are not known", () =>
    expect(reviewPolicy(withRoute({ homes: ["south"] }))).toEqual([]));

  it("names some of the workspaces that have no region in common", () => {
    const workspaces = Array.from({ length: 8 }, (_, i) => ({
      ...WORKSPACE,
      name: `w${i}`,
      homes: ["east"],
    }));
    const routes = [{ ...ROUTE, homes: ["north"] }];
    const [finding] = reviewPolicy(document({ routes, workspaces }));
    expect(finding.message).toContain("w0, w1, w2, w3, w4 and 3 others");
  });

  it("notes attempts that are kept for requests that have not run", () => {
    const input = withRoute({ kind: RouteKind.NonIdempotent });
    expect(reviewPolicy(input).map(({ severity }) => severity))
      .toEqual([FindingSeverity.Note]);
  });
});

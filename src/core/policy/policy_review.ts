/** Reviews valid policy documents for parts that contradict each other. */
import { MIN_ATTEMPT_MS, RESPONSE_MARGIN_MS } from "../retry/mod.ts";
import type { Homes } from "./homes.ts";
import { homesOf } from "./homes.ts";
import {
  type PolicyDocument,
  RouteKind,
  type RoutePolicy,
  type ServicePolicy,
  type WorkspacePolicy,
} from "./policy_document.ts";
import {
  FindingSeverity,
  type PolicyFinding,
  type PolicyPath,
} from "./policy_finding.ts";
import { RegionMap } from "./region_map.ts";

/** Options of {@link reviewPolicy}. */
export interface PolicyReviewOptions {
  /** Region of each data centre; absent if not known. */
  readonly regions?: Readonly<Record<string, string>>;
}

/** Longest timeout in which no attempt of a call is started. */
const NO_ATTEMPT_MS = MIN_ATTEMPT_MS + RESPONSE_MARGIN_MS;

/** Path of a contradiction within its owner, and its message. */
type Contradiction = readonly [path: PolicyPath, message: string];

/** Gets the contradictions of one route or service. */
type OwnerRule<T> = (
  owner: T,
  document: PolicyDocument,
) => readonly Contradiction[];

const ROUTE_RULES: Readonly<Record<string, OwnerRule<RoutePolicy>>> = {
  routeNeverMatches: ({ prefix }) =>
    /[?\s]/.test(prefix)
      ? [[["prefix"], "No path has this prefix: it contains ? or a space"]]
      : [],
  objectiveAboveTimeout: ({ objectiveMs, timeoutMs }) =>
    objectiveMs > timeoutMs
      ? [[
        ["objectiveMs"],
        `The objective of ${objectiveMs} ms is above the timeout of ${timeoutMs} ms`,
      ]]
      : [],
  resultObjectiveAboveGiveUp: ({ kind, resultObjectiveMs, giveUpMs }) =>
    kind === RouteKind.Rollout && resultObjectiveMs > giveUpMs
      ? [[
        ["resultObjectiveMs"],
        `Results are due after ${resultObjectiveMs} ms, but items may be abandoned after ${giveUpMs} ms`,
      ]]
      : [],
  timeoutTooShort: ({ kind, timeoutMs }) =>
    kind !== RouteKind.Rollout && timeoutMs <= NO_ATTEMPT_MS
      ? [[
        ["timeoutMs"],
        `No attempt is started within a timeout of ${NO_ATTEMPT_MS} ms or less`,
      ]]
      : [],
  homesDisjoint: (route, { workspaces }) => {
    const apart = workspaces.filter((w) => isEmpty(homesOf(route, w)));
    if (apart.length === 0) return [];
    return [[["homes"], `No region in common with ${listNames(apart)}`]];
  },
};

const SERVICE_RULES: Readonly<Record<string, OwnerRule<ServicePolicy>>> = {
  scalingMinAboveMax: ({ scaling }) =>
    scaling !== undefined && scaling.min > scaling.max
      ? [[
        ["scaling", "min"],
        `The minimum of ${scaling.min} is above the maximum of ${scaling.max}`,
      ]]
      : [],
  slowStartWithoutDuration: ({ slowStart }) =>
    slowStart !== undefined && !(slowStart.durationMs > 0)
      ? [[
        ["slowStart", "durationMs"],
        "A rate is set for cold targets, but no time for which they are cold",
      ]]
      : [],
  priceNotPositive: ({ scaling }) => {
    if (scaling === undefined) return [];
    const prices = Object.entries(scaling.prices).map((
      [dataCentre, price],
    ): [PolicyPath, number] => [["scaling", "prices", dataCentre], price]);
    if (scaling.spotPrice !== undefined) {
      prices.push([["scaling", "spotPrice"], scaling.spotPrice]);
    }
    return prices.filter(([, price]) => !(price > 0))
      .map(([path, price]) => [path, `The price of ${price} is not above 0`]);
  },
};

const MAX_LISTED_NAMES = 5;

/**
 * Gets the parts of a valid document that have no effect or contradict others.
 *
 * @example
 * ```ts
 * reviewPolicy(document, { regions: { "nl-1": "north" } });
 * // [{ severity: "warning", code: "homeUnknown", path: [...], message }]
 * ```
 */
export function reviewPolicy(
  document: PolicyDocument,
  { regions }: PolicyReviewOptions = {},
): PolicyFinding[] {
  return [
    ...applyRules(document, "routes", ROUTE_RULES),
    ...reviewAttempts(document),
    ...applyRules(document, "services", SERVICE_RULES),
    ...reviewUseOfServices(document),
    ...reviewHiddenNames(document),
    ...reviewKeys(document),
    ...reviewHomes(document, new RegionMap(regions)),
  ];
}

function applyRules<S extends "routes" | "services">(
  document: PolicyDocument,
  section: S,
  rules: Readonly<Record<string, OwnerRule<PolicyDocument[S][number]>>>,
): PolicyFinding[] {
  return document[section].flatMap((owner, i) =>
    Object.entries(rules).flatMap(([code, rule]) =>
      rule(owner, document).map(([path, message]) =>
        warn(code, [section, i, ...path], describe(section, owner, message))
      )
    )
  );
}

/** A note: attempts beyond the first remain for requests that have not run. */
function reviewAttempts({ routes }: PolicyDocument): PolicyFinding[] {
  return routes.flatMap((route, i) => {
    const isRepeatable = route.kind === RouteKind.Idempotent ||
      route.kind === RouteKind.Rollout ||
      (route.kind === RouteKind.Streaming && route.isResumable);
    if (isRepeatable || route.maxAttempts <= 1) return [];
    return [{
      ...warn(
        "attemptsNotRepeated",
        ["routes", i, "maxAttempts"],
        describe(
          "routes",
          route,
          "Attempts beyond the first are made only while no target has run the request",
        ),
      ),
      severity: FindingSeverity.Note,
    }];
  });
}

function reviewUseOfServices(
  { routes, services }: PolicyDocument,
): PolicyFinding[] {
  const weights = new Map<string, number>();
  for (const { service, weight } of routes.flatMap((r) => r.shares)) {
    weights.set(service, (weights.get(service) ?? 0) + weight);
  }
  return services.flatMap(({ name }, i) => {
    const weight = weights.get(name);
    const path = ["services", i];
    if (weight === undefined) {
      return [warn("serviceUnused", path, `No route names service ${name}`)];
    }
    if (weight > 0) return [];
    const message = `Service ${name} has weight 0 in every route`;
    return [warn("serviceWithoutWeight", path, message)];
  });
}

/** Of services of the same name the last one is used, of workspaces the first. */
function reviewHiddenNames(
  { services, workspaces }: PolicyDocument,
): PolicyFinding[] {
  const last = new Map(services.map(({ name }, i) => [name, i]));
  const first = new Map(
    workspaces.map(({ name }, i) => [name, i] as const).reverse(),
  );
  return [
    ...services.flatMap(({ name }, i) =>
      last.get(name) === i
        ? []
        : [warn("serviceHidden", ["services", i], hiddenBy("service", name))]
    ),
    ...workspaces.flatMap(({ name }, i) =>
      first.get(name) === i ? [] : [
        warn("workspaceHidden", ["workspaces", i], hiddenBy("workspace", name)),
      ]
    ),
  ];
}

function hiddenBy(kind: string, name: string): string {
  return `Another ${kind} named ${name} takes precedence`;
}

function reviewKeys({ routes, workspaces }: PolicyDocument): PolicyFinding[] {
  if (routes.every((route) => route.isAnonymous)) return [];
  return workspaces.flatMap(({ name, keys }, i) => {
    if (keys.length > 0) return [];
    const message = `Workspace ${name} has no keys, but routes need them`;
    return [warn("workspaceWithoutKeys", ["workspaces", i, "keys"], message)];
  });
}

function reviewHomes(
  { routes, workspaces }: PolicyDocument,
  regions: RegionMap,
): PolicyFinding[] {
  const warnAll = (path: PolicyPath, owner: string, faults: string[]) =>
    faults.map((fault) => warn("homeUnknown", path, `${owner}: ${fault}`));
  return [
    ...routes.flatMap((route, i) =>
      warnAll(
        ["routes", i, "homes"],
        `Route ${route.name}`,
        regions.findFaults({ routes: [route], workspaces: [] }),
      )
    ),
    ...workspaces.flatMap((workspace, i) =>
      warnAll(
        ["workspaces", i, "homes"],
        `Workspace ${workspace.name}`,
        regions.findFaults({ routes: [], workspaces: [workspace] }),
      )
    ),
  ];
}

const OWNER_KINDS: Readonly<Record<string, string>> = {
  routes: "Route",
  services: "Service",
};

function describe(
  section: string,
  owner: { readonly name: string },
  message: string,
): string {
  return `${OWNER_KINDS[section]} ${owner.name}: ${message}`;
}

function isEmpty(homes: Homes): boolean {
  return homes !== undefined && homes.length === 0;
}

function listNames(owners: readonly WorkspacePolicy[]): string {
  const names = owners.slice(0, MAX_LISTED_NAMES).map((w) => w.name);
  const others = owners.length - names.length;
  const listed = `workspace ${names.join(", ")}`;
  return others === 0 ? listed : `${listed} and ${others} others`;
}

function warn(code: string, path: PolicyPath, message: string): PolicyFinding {
  return { severity: FindingSeverity.Warning, code, path, message };
}

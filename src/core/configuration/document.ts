/**
 * Schema of the configuration document, a JSON object with one member per
 * section.
 */
import * as z from "zod";

const MAX_NAME_LENGTH = 64;
const HOUR_MS = 3_600_000;

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "Expected lower case letters, digits and hyphens",
).max(MAX_NAME_LENGTH);
const durationMs = z.number().int().min(1).max(HOUR_MS);

const limitSet = z.strictObject({
  requestsPerSecond: z.number().positive().optional(),
  burst: z.number().int().positive().optional(),
  tokensPerSecond: z.number().positive().optional(),
  concurrency: z.number().int().positive().optional(),
  queue: z.number().int().positive().optional(),
});

const workspace = z.strictObject({
  /** Weight relative to the other workspaces in fair queueing. */
  weight: z.number().positive().max(1_000).default(1),
  /**
   * Data centre that must confirm every configuration change of the workspace.
   */
  home: name.optional(),
});

const route = z.strictObject({
  kind: z.enum(["model", "service"]),
  /** Model served by the route; required for model routes. */
  model: name.optional(),
  /** Whether requests are accepted without an API key. */
  open: z.boolean().default(false),
  /** Whether a request may be executed more than once. */
  idempotent: z.boolean().default(false),
  /** Workspaces that may use the route. Defaults to all. */
  workspaces: z.array(name).optional(),
  timeoutMs: durationMs.default(120_000),
  firstTokenTimeoutMs: durationMs.optional(),
  maxAttempts: z.number().int().min(1).max(10).default(3),
});

const zone = z.strictObject({
  dataCentre: name,
  region: name,
  /**
   * Whether the zone is lasting; if false, the whole zone may be reclaimed at
   * short notice.
   */
  lasting: z.boolean(),
  pricePerHour: z.number().nonnegative(),
  /**
   * Whether the zone's targets reject orders with an outdated fencing token.
   */
  checksFencing: z.boolean().default(false),
});

const staleness = z.strictObject({
  /**
   * Maximum number of versions that a sample may be behind the newest announced
   * one.
   */
  maxVersionsBehind: z.number().int().nonnegative(),
  /** Maximum age of a sample at delivery, counted from its first token. */
  maxAgeMs: z.number().int().positive().optional(),
});

const model = z.strictObject({
  /**
   * Maximum share of the replicas that may be out of service for a weight swap
   * at the same time.
   */
  maxSwapShare: z.number().positive().max(1).default(0.3),
  /** Maximum number of simultaneous fetches that the weight store can serve. */
  maxFetches: z.number().int().positive().default(8),
});

const capacity = z.strictObject({
  minTargets: z.number().int().nonnegative(),
  maxTargets: z.number().int().positive(),
});

const usage = z.strictObject({
  windowMs: durationMs.default(60_000),
  sealDelayMs: durationMs.default(5_000),
});

const team = z.strictObject({ sections: z.array(z.string()).min(1) });

/** Schema of the configuration document. */
export const configurationSchema = z.strictObject({
  teams: z.record(name, team).default({}),
  workspaces: z.record(name, workspace).default({}),
  routes: z.record(name, route).default({}),
  models: z.record(name, model).default({}),
  zones: z.record(name, zone).default({}),
  staleness: z.record(name, staleness).default({}),
  limits: z.strictObject({
    default: limitSet.default({}),
    workspaces: z.record(name, limitSet).default({}),
  }).default({ default: {}, workspaces: {} }),
  capacity: z.record(name, capacity).default({}),
  usage: usage.default({ windowMs: 60_000, sealDelayMs: 5_000 }),
});

/** A valid configuration document, with defaults filled in. */
export type ConfigurationDocument = z.output<typeof configurationSchema>;
/** Settings of one route. */
export type RouteSettings = ConfigurationDocument["routes"][string];
/** Settings of one zone. */
export type ZoneSettings = ConfigurationDocument["zones"][string];
/** Settings of one workspace. */
export type WorkspaceSettings = ConfigurationDocument["workspaces"][string];
/** Staleness bound of one model. */
export type StalenessSettings = ConfigurationDocument["staleness"][string];
/** Limits of one workspace. */
export type LimitSettings = z.output<typeof limitSet>;

/** Names of the sections of the document. */
export const SECTION_NAMES = [
  "teams",
  "workspaces",
  "routes",
  "models",
  "zones",
  "staleness",
  "limits",
  "capacity",
  "usage",
] as const;

/** Name of a section. */
export type SectionName = typeof SECTION_NAMES[number];

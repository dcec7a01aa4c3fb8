/** Policy documents of test fleets, in the platform's format. */

/** Options of {@link fleetPolicy}. */
export interface FleetPolicyOptions {
  /** Revision of the policy. */
  readonly version: number;
  /** API keys of the workspace. */
  readonly keys: readonly string[];
  /** API keys of a second workspace; there is none by default. */
  readonly otherKeys?: readonly string[];
  /** How targets of all services start; at once by default. */
  readonly slowStart?: { readonly coldS: number; readonly coldPerS: number };
}

/** Host, path prefixes, services, model and workspace of the policy. */
export const FLEET_NAMES = {
  host: "fleet.example",
  plain: "/plain/",
  once: "/once/",
  rollout: "/rollout/",
  stream: "/stream/",
  engines: "engines",
  apps: "apps",
  model: "m0",
  workspace: "park",
  otherWorkspace: "zoo",
} as const;

/**
 * Creates a policy with an idempotent, a non-idempotent and a rollout route,
 * an engine service, a plain service and a workspace.
 */
export function fleetPolicy(options: FleetPolicyOptions): unknown {
  const { host, plain, once, rollout, stream, engines, apps, model } =
    FLEET_NAMES;
  const route = {
    host,
    timeoutMs: 3_000,
    sloMs: 300,
    priority: 1,
    maxAttempts: 3,
    anonymous: false,
  };
  return {
    version: options.version,
    routes: [
      {
        ...route,
        name: "plain",
        pathPrefix: plain,
        routeType: "idempotent",
        service: apps,
      },
      {
        ...route,
        name: "once",
        pathPrefix: once,
        routeType: "non_idempotent",
        service: apps,
      },
      {
        ...route,
        name: "rollout",
        pathPrefix: rollout,
        routeType: "rollout",
        service: engines,
        queueTtlS: 60,
        resultSloMs: 5_000,
        singleVersion: false,
        sticky: true,
        resumable: true,
      },
      {
        ...route,
        name: "stream",
        pathPrefix: stream,
        routeType: "streaming",
        service: engines,
        sticky: true,
        resumable: true,
      },
    ],
    services: [
      {
        ...options.slowStart,
        name: engines,
        healthPath: "/healthz",
        maxConns: 100,
        engine: { slots: 8, models: [{ name: model }] },
      },
      {
        ...options.slowStart,
        name: apps,
        healthPath: "/healthz",
        maxConns: 100,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      { name: FLEET_NAMES.workspace, apiKeys: options.keys, priority: 1 },
      ...(options.otherKeys === undefined ? [] : [{
        name: FLEET_NAMES.otherWorkspace,
        apiKeys: options.otherKeys,
        priority: 1,
      }]),
    ],
  };
}

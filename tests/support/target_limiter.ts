/** Limiter of targets for tests without a fleet. */
import { PermitIssuer, type PermitRequest } from "../../src/core/limits/mod.ts";
import type { TargetRegistry } from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import type { ServicePolicy } from "../../src/core/policy/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import { ColdTargets } from "../../src/tasks/fleet/cold_targets.ts";
import { TargetLimiter } from "../../src/tasks/fleet/target_limiter.ts";

/** Options of {@link createLimiter}. */
export interface TestLimiterOptions {
  readonly now?: () => number;
  /** Gets a service; none by default. */
  readonly getService?: (name: string) => ServicePolicy | undefined;
  /** Instances that send requests, besides `test`. */
  readonly senders?: readonly string[];
  /** Gets whether the leader answers; it does by default. */
  readonly hasLeader?: () => boolean;
}

/** Creates a limiter whose leader grants permits by the local clock. */
export function createLimiter(
  registry: TargetRegistry,
  options: TestLimiterOptions = {},
): TargetLimiter {
  const issuer = new PermitIssuer();
  const {
    now = () => performance.now(),
    getService = () => undefined,
    senders = [],
    hasLeader = () => true,
  } = options;
  const logger = new Logger({ instance: "test", level: "error" });
  const metrics = new Metrics({ tags: {} });
  return new TargetLimiter({
    registry,
    now,
    instance: "test",
    cold: new ColdTargets({ registry, now, getService, logger, metrics }),
    node: {
      logger,
      metrics,
      senders,
      requestLeader: (_role, _method, { params }) =>
        hasLeader()
          ? Promise.resolve(issuer.grant(params as PermitRequest, now()))
          : Promise.reject(new Error("No leader")),
    },
  });
}

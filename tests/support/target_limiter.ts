/** Limiter of targets for tests without a fleet. */
import { PermitDesk, type PermitRequest } from "../../src/core/limits/mod.ts";
import type { TargetRegistry } from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { TargetLimiter } from "../../src/tasks/fleet/target_limiter.ts";

/** Creates a limiter whose leader grants permits by the local clock. */
export function createLimiter(registry: TargetRegistry): TargetLimiter {
  const desk = new PermitDesk();
  const now = () => performance.now();
  return new TargetLimiter({
    registry,
    now,
    node: {
      logger: new Logger({ instance: "test", level: "error" }),
      requestLeader: (_role, _method, { params }) =>
        Promise.resolve(desk.grant(params as PermitRequest, now())),
    },
  });
}

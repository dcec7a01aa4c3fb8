/** Grants permits for targets that limit their rate, on the control leader. */
import {
  COLD_BURST,
  type LimitedTarget,
  PermitIssuer,
  type PermitReply,
  type PermitRequest,
} from "../../core/limits/mod.ts";
import { CurrentPolicy, type PolicyDocument } from "../../core/policy/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { permitRequestSchema } from "../../schemas/mod.ts";
import { decodeRequest, type PeerHub } from "../peers/mod.ts";
import { ColdTargets } from "./cold_targets.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link PermitService}. */
export interface PermitServiceOptions {
  readonly node: Pick<FleetNode, "logger" | "metrics"> & {
    readonly hub: Pick<PeerHub, "handle">;
  };
  /** Gets the term that this replica leads; undefined unless it leads. */
  readonly leadsTerm: () => number | undefined;
  /**
   * Gets the time until which no other replica leads, on the clock of
   * {@link now}.
   */
  readonly leaseEnd: () => number;
  readonly registry: TargetRegistry;
  /** Number of targets whose permits are counted at the same time. */
  readonly maxTargets?: number;
  readonly policy: () => PolicyDocument | undefined;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Serves the other instances' requests for permits. */
export class PermitService {
  readonly #options: PermitServiceOptions;
  readonly #issuer: PermitIssuer;
  readonly #cold: ColdTargets;

  /** Creates the service and registers its peer method. */
  constructor(options: PermitServiceOptions) {
    this.#options = options;
    this.#issuer = new PermitIssuer({ maxTargets: options.maxTargets });
    const { node, registry, now } = options;
    const policy = new CurrentPolicy(options.policy);
    this.#cold = new ColdTargets({
      registry,
      getService: (name) => policy.getService(name),
      now,
      logger: node.logger,
      metrics: node.metrics,
    });
    node.hub.handle(
      FleetMethod.Permits,
      (params) => this.#grant(decodeRequest(permitRequestSchema, params)),
    );
  }

  /** Logs the targets that have become cold or warm, and counts them. */
  checkColdTargets(): void {
    this.#cold.check();
  }

  /** @throws RefusalError unless this replica leads. */
  #grant(request: PermitRequest): PermitReply {
    const { leadsTerm, now } = this.#options;
    if (leadsTerm() !== undefined) {
      const targets = request.targets.flatMap((k) => this.#limit(k));
      return this.#issuer.grant({ ...request, targets }, now());
    }
    throw new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun);
  }

  /**
   * Applies what this replica knows to a target: an instance may not have been
   * told yet that it is cold. Without a lease another replica may grant permits
   * for a cold target by now.
   */
  #limit(limited: LimitedTarget): LimitedTarget[] {
    const { leaseEnd, now, registry } = this.#options;
    const report = registry.get(idOf(limited.target))?.report;
    const coldRate = report === undefined
      ? undefined
      : this.#cold.rateOf(report);
    const isCold = coldRate !== undefined || limited.burst !== undefined;
    if (!isCold) return [limited];
    if (leaseEnd() <= now()) return [];
    const perSecond = Math.min(limited.perSecond, coldRate ?? Infinity);
    const burst = Math.min(limited.burst ?? COLD_BURST, COLD_BURST);
    return [{ ...limited, perSecond, burst }];
  }
}

/** Gets the identifier of a target that is named with its incarnation. */
function idOf(target: string): string {
  return target.slice(0, target.lastIndexOf("/"));
}

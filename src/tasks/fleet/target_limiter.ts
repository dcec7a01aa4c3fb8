/** Permits of an instance for targets that limit the rate of all instances. */
import { FleetRole } from "../../core/fleet/mod.ts";
import {
  type LimitedTarget,
  PermitDesk,
  type PermitReply,
  type PermitRequest,
} from "../../core/limits/mod.ts";
import type { TargetRegistry, TargetReport } from "../../core/registry/mod.ts";
import type { PermitAnswer, RateGuard } from "../calls/mod.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link TargetLimiter}. */
export interface TargetLimiterOptions {
  readonly node: Pick<FleetNode, "requestLeader" | "logger">;
  readonly registry: TargetRegistry;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

interface StoredPermits {
  count: number;
  expiresAt: number;
}

const REQUEST_TIMEOUT_MS = 150;
/** Time after a request without reply in which the leader is not asked. */
const RETRY_DELAY_MS = 300;
/** Time for which permits that were fetched ahead are valid. */
const STORED_VALIDITY_MS = 500;
/** Share of a named rate that an instance uses while it reaches no leader. */
const SHARE_WITHOUT_LEADER = 0.125;

/**
 * Asks the control leader for permits. Calls ask when they are about to be sent;
 * a batch runner, which places many items at once, fetches permits ahead.
 */
export class TargetLimiter implements RateGuard {
  readonly #options: TargetLimiterOptions;
  /** Grants this instance's share while no leader is reached. */
  readonly #ownDesk = new PermitDesk();
  readonly #stored = new Map<string, StoredPermits>();
  #isFetching = false;
  #askAgainAt = -Infinity;

  constructor(options: TargetLimiterOptions) {
    this.#options = options;
  }

  /** Gets whether a target limits the requests of all instances. */
  isLimited(target: TargetReport): boolean {
    return this.#rateOf(target) !== undefined;
  }

  /** Takes a permit for one request to the first of some limited targets. */
  async acquire(
    targets: readonly TargetReport[],
    maxWaitMs: number,
  ): Promise<PermitAnswer> {
    const { permits, retryAfterMs } = await this.#ask({
      targets: this.#toLimited(targets),
      count: 1,
      maxWaitMs,
    });
    const [granted] = permits;
    const target = targets.find((k) => keyOf(k) === granted?.target);
    if (target === undefined) return { permit: undefined, retryAfterMs };
    return { permit: { target, afterMs: granted.afterMs }, retryAfterMs };
  }

  /** Gets the number of permits that were fetched ahead for a target. */
  storedPermits(target: TargetReport): number {
    const stored = this.#stored.get(keyOf(target));
    const isValid = stored !== undefined &&
      this.#options.now() < stored.expiresAt;
    return isValid ? stored.count : 0;
  }

  /** Uses a permit that was fetched ahead. */
  useStored(target: TargetReport): this {
    const stored = this.#stored.get(keyOf(target));
    if (stored !== undefined) stored.count -= 1;
    return this;
  }

  /**
   * Fetches permits ahead, one request at a time.
   * @returns Whether any have come.
   */
  async fetch(
    targets: readonly TargetReport[],
    count: number,
  ): Promise<boolean> {
    if (this.#isFetching || targets.length === 0 || count <= 0) return false;
    this.#isFetching = true;
    try {
      const limited = this.#toLimited(targets);
      const request = { targets: limited, count, maxWaitMs: 0 };
      const { permits } = await this.#ask(request);
      for (const { target } of permits) this.#store(target);
      return permits.length > 0;
    } finally {
      this.#isFetching = false;
    }
  }

  #store(target: string): void {
    const now = this.#options.now();
    const stored = this.#stored.get(target);
    const isValid = stored !== undefined && now < stored.expiresAt;
    this.#stored.set(target, {
      count: (isValid ? stored.count : 0) + 1,
      expiresAt: now + STORED_VALIDITY_MS,
    });
  }

  async #ask(request: PermitRequest): Promise<PermitReply> {
    const { node, now } = this.#options;
    if (now() >= this.#askAgainAt) {
      try {
        return await node.requestLeader(
          FleetRole.Control,
          FleetMethod.Permits,
          { params: request, timeoutMs: REQUEST_TIMEOUT_MS },
        ) as PermitReply;
      } catch (err) {
        this.#askAgainAt = now() + RETRY_DELAY_MS;
        const { message } = err as Error;
        node.logger.event("permitsUnanswered", { reason: message });
      }
    }
    const targets = request.targets.map(({ target, perSecond }) => ({
      target,
      perSecond: perSecond * SHARE_WITHOUT_LEADER,
    }));
    return this.#ownDesk.grant({ ...request, targets }, now());
  }

  #toLimited(targets: readonly TargetReport[]): LimitedTarget[] {
    return targets.flatMap((target) => {
      const perSecond = this.#rateOf(target);
      return perSecond === undefined
        ? []
        : [{ target: keyOf(target), perSecond }];
    });
  }

  #rateOf({ id, incarnation }: TargetReport): number | undefined {
    const known = this.#options.registry.get(id);
    return known?.report.incarnation === incarnation
      ? known.maxPerSecond
      : undefined;
  }
}

function keyOf({ id, incarnation }: TargetReport): string {
  return `${id}/${incarnation}`;
}

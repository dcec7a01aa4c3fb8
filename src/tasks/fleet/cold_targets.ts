/** Targets of an instance that take only a few requests for some time. */
import type { ServicePolicy } from "../../core/policy/mod.ts";
import {
  type RegisteredTarget,
  type TargetRegistry,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";

/** Options of {@link ColdTargets}. */
export interface ColdTargetsOptions {
  readonly registry: TargetRegistry;
  /** Gets a service of the policy in force. */
  readonly getService: (name: string) => ServicePolicy | undefined;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /**
   * Gets the time for which this instance has received no reports of targets,
   * in milliseconds; 0 by default.
   */
  readonly outdatedMs?: () => number;
  /** Gets the wall-clock time, in milliseconds; by default, of this machine. */
  readonly wallNow?: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Why a target is cold. */
const ColdReason = {
  /** The target says so. */
  Reported: "reported",
  /** It has started beside serving targets and does not say. */
  Started: "started",
} as const;

/** Why a target is no longer cold. */
const WarmReason = {
  /** Its cold time has passed. */
  Elapsed: "elapsed",
  /** It has said so earlier than expected, or the policy has changed. */
  Withdrawn: "withdrawn",
  /** It has ended, leaves or has started again. */
  Gone: "gone",
} as const;

/** Difference of the clocks of two machines that is reckoned with. */
const CLOCK_SKEW_MS = 6_000;

/**
 * Time for which a target counts as cold after its process seems to have ended.
 * One that starts again under its identifier has sent heartbeats by then.
 */
const LOST_MS = 1_000;

interface ColdState {
  readonly incarnation: number;
  readonly until: number;
}

/** Knows which targets are cold, by what they report and by the policy. */
export class ColdTargets {
  readonly #options: ColdTargetsOptions;
  /** Targets that were cold at the last {@link check}. */
  readonly #known = new Map<string, ColdState>();
  /** Targets whose process seems to have ended. */
  readonly #lost = new Map<string, ColdState>();

  constructor(options: ColdTargetsOptions) {
    this.#options = options;
  }

  /**
   * Gets the requests a second that a target takes while it is cold; undefined
   * if it is warm or its service has no slow start.
   */
  rateOf({ id, incarnation }: TargetReport): number | undefined {
    const target = this.#options.registry.get(id);
    if (target?.report.incarnation !== incarnation) return undefined;
    const end = this.#endOf(target);
    const isCold = end !== undefined && end.until > this.#knownAt;
    const isLimited = isCold || this.#isLost(target);
    return isLimited ? this.#rateOf(target) : undefined;
  }

  /**
   * Records that a target's process seems to have ended. Until a restart is
   * reported, a process under the same identifier would pass for warm.
   */
  onLost({ id, incarnation }: TargetReport): void {
    const target = this.#options.registry.get(id);
    if (target?.report.incarnation !== incarnation) return;
    if (this.#rateOf(target) === undefined) return;
    const now = this.#options.now();
    for (const [other, { until }] of this.#lost) {
      if (until <= now) this.#lost.delete(other);
    }
    this.#lost.set(id, { incarnation, until: now + LOST_MS });
  }

  #isLost({ report: { id, incarnation } }: RegisteredTarget): boolean {
    const lost = this.#lost.get(id);
    if (lost === undefined) return false;
    return lost.incarnation === incarnation &&
      lost.until > this.#options.now();
  }

  /**
   * A target that was cold when the control instances last sent reports may
   * stay so for longer than it said then.
   */
  get #knownAt(): number {
    const { now, outdatedMs } = this.#options;
    return now() - (outdatedMs?.() ?? 0);
  }

  /** Gets whether a service has a target that serves and is warm. */
  hasWarm(service: string): boolean {
    return this.#options.registry.readyOf(service)
      .some(({ report }) => this.rateOf(report) === undefined);
  }

  /** Logs the targets that have become cold or warm, and counts them. */
  check(): void {
    const { registry, metrics, now } = this.#options;
    for (const target of registry.all) this.#check(target, now());
    for (const id of this.#known.keys()) {
      if (registry.get(id) === undefined) this.#known.delete(id);
    }
    metrics.gauge("targets.cold", this.#known.size);
  }

  #check(target: RegisteredTarget, now: number): void {
    const { id, incarnation, state, service } = target.report;
    const { logger } = this.#options;
    const known = this.#known.get(id);
    const end = this.#endOf(target);
    const perSecond = this.#rateOf(target);
    const isPresent = state === TargetState.Ready &&
      (known === undefined || known.incarnation === incarnation);
    const isCold = isPresent && end !== undefined && end.until > now &&
      perSecond !== undefined;
    if (isCold) {
      this.#known.set(id, { incarnation, until: end.until });
      if (known !== undefined) return;
      const leftMs = Math.round(end.until - now);
      const { reason } = end;
      logger.event("targetCold", {
        target: id,
        service,
        incarnation,
        reason,
        leftMs,
        perSecond,
      });
      return;
    }
    if (known === undefined) return;
    this.#known.delete(id);
    const elapsed = known.until <= now
      ? WarmReason.Elapsed
      : WarmReason.Withdrawn;
    const reason = isPresent ? elapsed : WarmReason.Gone;
    logger.event("targetWarm", {
      target: id,
      service,
      incarnation: known.incarnation,
      reason,
    });
  }

  #rateOf({ report }: RegisteredTarget): number | undefined {
    return this.#options.getService(report.service)?.slowStart?.requestsPerS;
  }

  /** A target that names its cold time, also as 0, knows better than a guess. */
  #endOf(
    { report, coldUntil, joinedAt }: RegisteredTarget,
  ): { until: number; reason: string } | undefined {
    if (coldUntil !== undefined) {
      return { until: coldUntil, reason: ColdReason.Reported };
    }
    if (report.coldMs !== undefined || joinedAt === undefined) return undefined;
    const { slowStart } = this.#options.getService(report.service) ?? {};
    if (slowStart === undefined) return undefined;
    const { now, wallNow = Date.now } = this.#options;
    // An instance that has just started receives reports of old targets, too.
    const ageMs = wallNow() - report.incarnation - (now() - joinedAt);
    if (ageMs > slowStart.durationMs + CLOCK_SKEW_MS) return undefined;
    const until = joinedAt + slowStart.durationMs;
    return { until, reason: ColdReason.Started };
  }
}

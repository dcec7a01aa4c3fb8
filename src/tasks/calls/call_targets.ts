/** Choice of the targets of a single call. */
import {
  type CallPlacementInput,
  drainMsOf,
  type LatencyTracker,
  rankSpread,
  rankTargets,
} from "../../core/calls/mod.ts";
import {
  mayContinue,
  type OutputWriter,
  scarceVersionsOf,
} from "../../core/continuation/mod.ts";
import {
  type Homes,
  pickService,
  type RoutePolicy,
} from "../../core/policy/mod.ts";
import {
  type TargetRegistry,
  type TargetReport,
} from "../../core/registry/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { delay } from "../delay.ts";
import { checkPermit, checkTarget, type SendGuard } from "../send_guard.ts";
import type { CallSpread } from "./call_run_options.ts";
import type { HeldPermit, RateGuard } from "./rate_guard.ts";

/** Options of {@link CallTargets}. */
export interface CallTargetsOptions {
  readonly registry: TargetRegistry;
  readonly latencies: LatencyTracker;
  readonly rates: RateGuard;
  readonly dataCentre: string;
  /** Regions in which the call may run. */
  readonly homes: Homes;
  readonly metrics: Metrics;
  /** How calls are spread; undefined to use the order by latency alone. */
  readonly spread?: CallSpread | undefined;
  readonly route: RoutePolicy;
  /** Identifier of the call. */
  readonly call: string;
  /** Gets who wrote the events that the caller holds. */
  readonly written: () => OutputWriter | undefined;
  /** Gets whether the caller has received a part of the response. */
  readonly hasHead: () => boolean;
}

/** Fraction of the route's latency objective that a permit is waited for. */
const PERMIT_WAIT_FRACTION = 0.5;
/** Delay after which a target that was full is asked again, in milliseconds. */
const FULL_RETRY_MS = 100;
const NO_VERSIONS: ReadonlySet<string | undefined> = new Set();

/**
 * Chooses a target for each attempt of a call. A target is chosen twice only if
 * it was full and the caller has received a part of the response: few targets
 * may go on with it, and the response breaks off if none does.
 */
export class CallTargets {
  readonly #options: CallTargetsOptions;
  readonly #tried = new Set<string>();
  /** Targets that a call was not sent to after they were chosen. */
  readonly #withheld = new Set<string>();
  /** Targets that were full at their last attempt. */
  readonly #full = new Set<string>();
  #sentCount = 0;
  /** Number of attempts that targets refused as full. */
  #refusalCount = 0;
  readonly #service: string;
  #permitAfterMs: number | undefined;
  #permit: HeldPermit | undefined;
  /** Whether the last order does not begin with the target of the least cost. */
  #isSpread = false;

  constructor(options: CallTargetsOptions) {
    this.#options = options;
    this.#service = options.written()?.service ??
      pickService(options.route, options.call);
  }

  /** Gets the service whose targets run the call. */
  get service(): string {
    return this.#service;
  }

  /** Gets the number of attempts, whether or not they ran the call. */
  get sentCount(): number {
    return this.#sentCount;
  }

  /**
   * Gets the time until a limited target has a permit, in milliseconds;
   * undefined if no permit was missing.
   */
  get permitAfterMs(): number | undefined {
    return this.#permitAfterMs;
  }

  /**
   * Gets the time in which the targets of the service complete what they hold,
   * in milliseconds; undefined unless each attempt was refused as full, and if no
   * latency is measured.
   */
  get drainMs(): number | undefined {
    const isRefusedByAll = this.#refusalCount > 0 &&
      this.#refusalCount === this.#sentCount;
    if (!isRefusedByAll) return undefined;
    const { latencies } = this.#options;
    return drainMsOf(
      this.#reports().map(({ id, slots }) => ({
        slots,
        measuredMs: latencies.measuredMs(id),
      })),
    );
  }

  /** Gets whether the call has homes, and no target in them is ready. */
  get isOutsideHomes(): boolean {
    return this.#options.homes !== undefined && this.#reports().length === 0;
  }

  /**
   * Records that the call is sent to a target, under the permit for it.
   * @returns The guard that tells whether the target may still be sent the call.
   */
  markTried(target: TargetReport): SendGuard {
    const permit = this.#permit;
    this.#tried.add(target.id);
    this.#sentCount += 1;
    this.#permit = undefined;
    return () =>
      checkTarget(this.#options.registry, target) ?? checkPermit(permit);
  }

  /** Counts an attempt that a target refused as full. */
  countRefusal(): this {
    this.#refusalCount += 1;
    return this;
  }

  /**
   * Records that the call was not sent to a target after all. The target may be
   * chosen again, once.
   */
  markWithheld(id: string): this {
    this.#sentCount -= 1;
    if (!this.#withheld.has(id)) this.#tried.delete(id);
    this.#withheld.add(id);
    return this;
  }

  /** Records that a target may be asked again, as it did not run the call. */
  markFull(id: string): this {
    this.#full.add(id);
    return this;
  }

  /**
   * Gets the target of the next attempt, with a permit if it needs one.
   * @param leftMs - Time left for the call, in milliseconds.
   */
  async next(leftMs: number): Promise<TargetReport | undefined> {
    this.#permit = undefined;
    const ranked = await this.#rankWithFull(leftMs);
    const best = ranked[0];
    if (this.#isSpread) this.#options.metrics.count("calls.spread");
    if (best === undefined || !this.#isLimited(best)) return best;
    const limited = ranked.filter((target) => this.#isLimited(target));
    return await this.#takePermit(limited, leftMs) ?? this.nextUnlimited();
  }

  /** Gets the best target that does not limit its requests. */
  nextUnlimited(): TargetReport | undefined {
    return this.#rank().find((target) => !this.#isLimited(target));
  }

  /** Gets whether a target that does not limit its requests is left beside one. */
  hasUnlimitedBeside({ id }: TargetReport): boolean {
    return this.#rank().some((target) =>
      target.id !== id && !this.#isLimited(target)
    );
  }

  /**
   * Takes a permit for one of some limited targets, and waits until it is due.
   * A longer wait than that within the route's objective serves nobody better
   * than a refusal that says when to come back.
   */
  async #takePermit(
    limited: readonly TargetReport[],
    leftMs: number,
  ): Promise<TargetReport | undefined> {
    const { rates, registry, route } = this.#options;
    const maxWaitMs = Math.min(
      route.objectiveMs * PERMIT_WAIT_FRACTION,
      leftMs / 2,
    );
    const hasOther = this.nextUnlimited() !== undefined;
    const { permit, retryAfterMs } = await rates
      .acquire(limited, maxWaitMs, hasOther);
    this.#permitAfterMs = permit === undefined ? retryAfterMs : undefined;
    if (permit === undefined) return undefined;
    const { target, afterMs } = permit;
    if (afterMs > 0) await delay(afterMs);
    this.#permit = permit;
    const isValid = checkPermit(permit) === undefined;
    return registry.maySendTo(target.id) && isValid ? target : undefined;
  }

  /** Ranks the targets, if need be with those that may be full no more. */
  async #rankWithFull(leftMs: number): Promise<TargetReport[]> {
    const ranked = this.#rank();
    const mayWait = this.#full.size > 0 && this.#options.hasHead() &&
      leftMs > FULL_RETRY_MS;
    if (ranked.length > 0 || !mayWait) return ranked;
    await delay(FULL_RETRY_MS);
    for (const id of this.#full) this.#tried.delete(id);
    this.#full.clear();
    return this.#rank();
  }

  #isLimited(target: TargetReport): boolean {
    return this.#options.rates.isLimited(target);
  }

  /** Gets the targets of the service in the homes of the call. */
  #reports(): TargetReport[] {
    const { registry, homes } = this.#options;
    return registry.readyOf(this.#service, homes).map(({ report }) => report);
  }

  /** Gets the targets that may run the call, the best ones first. */
  #rank(): TargetReport[] {
    const { registry, latencies, dataCentre, written, route } = this.#options;
    const now = performance.now();
    const writer = written();
    const reports = this.#reports();
    const isFreshStream = route.isResumable && writer === undefined;
    const scarce = isFreshStream ? scarceVersionsOf(reports) : NO_VERSIONS;
    const ranked = this.#order(reports, {
      dataCentre,
      tried: this.#tried,
      targets: reports.filter((report) => mayContinue(writer, report)).map((
        report,
      ) => ({
        id: report.id,
        dataCentre: report.dataCentre,
        inFlight: latencies.inFlight(report.id),
        latencyMs: latencies.latencyMs(report.id),
        isSuspect: latencies.isSuspect(report.id, now),
        isLimited: this.#isLimited(report),
        isScarce: scarce.has(report.software),
      })),
    });
    return ranked.map((id) => registry.getReportOrThrow(id));
  }

  /**
   * Orders targets at random within limits if the instances outnumber the slots
   * of the ready targets, and by latency alone otherwise.
   */
  #order(
    ready: readonly TargetReport[],
    input: CallPlacementInput,
  ): string[] {
    const { latencies, spread } = this.#options;
    const slots = ready.reduce((sum, report) => sum + report.slots, 0);
    this.#isSpread = false;
    if (spread === undefined || spread.instances() <= slots) {
      return rankTargets(input).map(({ id }) => id);
    }
    const now = performance.now();
    const ranking = rankSpread({
      ...input,
      random: spread.random,
      targets: input.targets.map((target) => ({
        ...target,
        measuredMs: latencies.measuredMs(target.id),
        isSuspect: latencies.isFailing(target.id, now),
      })),
    });
    this.#isSpread = ranking.isSpread;
    return ranking.targets.map(({ id }) => id);
  }
}

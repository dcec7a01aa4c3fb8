/** Decides when a request under which targets ended may be tried again. */
import type { SuspicionChange } from "./quarantine.ts";
import { type RegisteredTarget, TargetState } from "../registry/mod.ts";

/** What is asked before a suspect request is sent to a target. */
export interface TrialRequest {
  readonly fingerprint: string;
  readonly service: string;
  /** Number of targets that ended under the request, as far as is known. */
  readonly deaths: number;
  /** The last of them, each named with its incarnation. */
  readonly targets: readonly string[];
}

/** A request whose trial has ended. */
export type EndedTrial = Pick<TrialRequest, "fingerprint" | "service">;

/** Targets of a service, as they are now. */
export interface ServiceTargetCounts {
  /** Number of targets that serve. */
  readonly healthy: number;
  /** Greatest number of targets that served at the same time lately. */
  readonly known: number;
}

/** Whether a suspect request may be tried. */
export interface TrialReply {
  readonly isGranted: boolean;
  /** Time after which to ask again, in milliseconds; 0 if granted. */
  readonly retryAfterMs: number;
}

/** Longest time for which a trial delays others of its service, in ms. */
const TRIAL_MS = 1_000;
/** Retry delay while other requests of the service are tried. */
const BUSY_RETRY_MS = 30;
/** Retry delay until targets that have ended may be back. */
const UNHEALTHY_RETRY_MS = 1_000;
/** Reply that grants a trial. */
export const GRANTED_TRIAL: TrialReply = { isGranted: true, retryAfterMs: 0 };

/**
 * Grants trials of suspect requests, as many at a time as leave the service a
 * target even if all of them crash theirs. Each death requires one more healthy
 * target, so a service that has lost several recovers first.
 *
 * @example
 * ```ts
 * limiter.take({ fingerprint: "f", service: "app", deaths: 1 },
 *   { healthy: 2, known: 3 }, now); // granted
 * ```
 */
export class TrialLimiter {
  /** Ends of the trials in progress, by service and fingerprint. */
  readonly #trials = new Map<string, Map<string, number>>();

  /**
   * Takes the trial of a request.
   * @param now - Monotonic time in milliseconds.
   */
  take(
    { fingerprint, service, deaths }: Omit<TrialRequest, "targets">,
    { healthy, known }: ServiceTargetCounts,
    now: number,
  ): TrialReply {
    const needed = Math.max(1, Math.min(deaths + 1, known));
    if (healthy < needed) {
      return { isGranted: false, retryAfterMs: UNHEALTHY_RETRY_MS };
    }
    const others = this.#runningBeside({ fingerprint, service }, now);
    if (others > 0 && healthy < deaths + 1 + others) {
      return { isGranted: false, retryAfterMs: BUSY_RETRY_MS };
    }
    this.#trialsOf(service).set(fingerprint, now + TRIAL_MS);
    return GRANTED_TRIAL;
  }

  /** Ends the trial of a request. */
  end({ fingerprint, service }: EndedTrial): this {
    this.#trialsOf(service).delete(fingerprint);
    return this;
  }

  /** Counts the trials of other requests, and removes those that have ended. */
  #runningBeside({ fingerprint, service }: EndedTrial, now: number): number {
    const trials = this.#trialsOf(service);
    for (const [other, endsAt] of trials) {
      if (now >= endsAt) trials.delete(other);
    }
    return trials.size - (trials.has(fingerprint) ? 1 : 0);
  }

  #trialsOf(service: string): Map<string, number> {
    let trials = this.#trials.get(service);
    if (trials !== undefined) return trials;
    trials = new Map();
    this.#trials.set(service, trials);
    return trials;
  }
}

/**
 * Gets whether a request only ran beside others under which targets end: each
 * target that ended under it did so under one with more deaths, too.
 *
 * @example
 * ```ts
 * ranBeside({ fingerprint: "f", deaths: 1, targets: ["t1/7"] }, suspicions);
 * ```
 */
export function ranBeside(
  { fingerprint, deaths, targets }: Omit<TrialRequest, "service">,
  suspicions: readonly SuspicionChange[],
): boolean {
  if (targets.length === 0) return false;
  const others = suspicions.filter((other) =>
    other.fingerprint !== fingerprint && other.deaths > deaths
  );
  return targets.every((target) =>
    others.some((other) => other.targets?.includes(target))
  );
}

/** Options of {@link countTargets}. */
export interface TargetCountOptions {
  readonly targets: readonly RegisteredTarget[];
  /** Targets that ended under a request, each named with its incarnation. */
  readonly dead: ReadonlySet<string>;
  /** Interval of the reports of targets, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Time on the clock of the registry, in milliseconds. */
  readonly now: number;
  /** Time in milliseconds since the Unix epoch. */
  readonly wallNow: number;
}

/** Report intervals without a report after which a target does not serve. */
const MISSED_INTERVALS = 2.5;
/** Time for which a target that has ended still counts as known. */
const KNOWN_MS = 15_000;

/**
 * Counts the targets of a service that serve, and the most that did so at the
 * same time lately. A target that has started again counts once.
 *
 * @example
 * ```ts
 * countTargets("app", options); // { healthy: 2, known: 3 }
 * ```
 */
export function countTargets(
  service: string,
  { targets, dead, reportIntervalMs, now, wallNow }: TargetCountOptions,
): ServiceTargetCounts {
  const known = targets.filter(({ report, reportedAt }) =>
    report.service === service && report.state === TargetState.Ready &&
    now - reportedAt < KNOWN_MS
  );
  const healthy = known.filter(({ report, reportedAt }) =>
    now - reportedAt < reportIntervalMs * MISSED_INTERVALS &&
    !dead.has(targetNameOf(report))
  );
  const uptimes = known.map(({ report, reportedAt }) => ({
    from: report.incarnation,
    to: wallNow - (now - reportedAt),
  }));
  return { healthy: healthy.length, known: countAtOnce(uptimes) };
}

/** Gets the greatest number of intervals that overlap. */
function countAtOnce(
  intervals: readonly { readonly from: number; readonly to: number }[],
): number {
  const changes = intervals
    .flatMap(({ from, to }) => [{ at: from, by: 1 }, { at: to, by: -1 }])
    .sort((a, b) => a.at - b.at || a.by - b.by);
  let count = 0;
  let most = 0;
  for (const { by } of changes) {
    count += by;
    most = Math.max(most, count);
  }
  return most;
}

/**
 * Names a target with its incarnation.
 *
 * @example
 * ```ts
 * targetNameOf({ id: "t1", incarnation: 7 }); // "t1/7"
 * ```
 */
export function targetNameOf(
  { id, incarnation }: { readonly id: string; readonly incarnation: number },
): string {
  return `${id}/${incarnation}`;
}

/** Selects the target that runs a call. */

/** State of a target that placement depends on. */
export interface CallTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Number of calls in flight from this instance. */
  readonly inFlight: number;
  /** Recent mean latency of a call, in milliseconds. */
  readonly latencyMs: number;
  /** Whether the target failed recently. */
  readonly isSuspect: boolean;
  /** Whether the target limits the requests of all instances. */
  readonly isLimited: boolean;
}

/** Input of {@link placeCall}. */
export interface CallPlacementInput {
  readonly targets: readonly CallTarget[];
  /** Local data centre. */
  readonly dataCentre: string;
  /** Targets to which this call has already been sent. */
  readonly tried: ReadonlySet<string>;
}

/** Cost factor of a target in another data centre. */
const DISTANCE_FACTOR = 1.3;
/** Cost factor of a target that failed recently. */
const SUSPECT_FACTOR = 20;
/** Cost factor of a target that limits its requests: it is short of something. */
const LIMITED_FACTOR = 4;

/**
 * Selects the target with the shortest expected latency, or undefined if all
 * have been tried.
 *
 * @example
 * ```ts
 * const target = placeCall({ targets, dataCentre: "a", tried: new Set() });
 * ```
 */
export function placeCall(input: CallPlacementInput): CallTarget | undefined {
  return rankTargets(input)[0];
}

/** Gets the targets that have not been tried, the best ones first. */
export function rankTargets(input: CallPlacementInput): CallTarget[] {
  const { targets, dataCentre, tried } = input;
  const costOf = (target: CallTarget) =>
    target.latencyMs * (1 + target.inFlight) *
    (target.dataCentre === dataCentre ? 1 : DISTANCE_FACTOR) *
    (target.isSuspect ? SUSPECT_FACTOR : 1) *
    (target.isLimited ? LIMITED_FACTOR : 1);
  return targets
    .filter((target) => !tried.has(target.id))
    .sort((a, b) => costOf(a) - costOf(b));
}

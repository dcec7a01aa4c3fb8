/** Order of the targets that may run a call. */

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
  /** Whether it is reserved for streams that only its version can continue. */
  readonly isScarce: boolean;
}

/** Input of {@link rankTargets}. */
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
/**
 * Cost factor of a target that limits its requests: it is short of some
 * resource.
 */
const LIMITED_FACTOR = 4;
/**
 * Cost factor of a target that is reserved for streams that need its version.
 */
const SCARCE_FACTOR = 1.5;

/**
 * Gets the targets that have not been tried, by their expected latency.
 *
 * @example
 * ```ts
 * const [best] = rankTargets({ targets, dataCentre: "a", tried: new Set() });
 * ```
 */
export function rankTargets(input: CallPlacementInput): CallTarget[] {
  const { targets, dataCentre, tried } = input;
  return targets
    .filter((target) => !tried.has(target.id))
    .sort((a, b) => costOf(a, dataCentre) - costOf(b, dataCentre));
}

/** Gets the expected latency of a call, weighted by reasons against a target. */
export function costOf(target: CallTarget, dataCentre: string): number {
  return target.latencyMs * (1 + target.inFlight) *
    (target.dataCentre === dataCentre ? 1 : DISTANCE_FACTOR) *
    (target.isSuspect ? SUSPECT_FACTOR : 1) *
    (target.isLimited ? LIMITED_FACTOR : 1) *
    (target.isScarce ? SCARCE_FACTOR : 1);
}

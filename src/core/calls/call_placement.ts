/** Decides at which target a call runs. */

/** A target, as the decision sees it. */
export interface CallTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Calls in flight from this instance. */
  readonly inFlight: number;
  /** Time that a call took lately, in milliseconds. */
  readonly latencyMs: number;
  /** Whether it failed lately. */
  readonly isSuspect: boolean;
}

/** What the decision looks at. */
export interface CallPlacementInput {
  readonly targets: readonly CallTarget[];
  /** Data centre of the caller. */
  readonly dataCentre: string;
  /** Targets that this call has been sent to. */
  readonly tried: ReadonlySet<string>;
}

/** Factor by which a target in another data centre counts as slower. */
const DISTANCE_FACTOR = 1.3;
/** Factor by which a target that failed lately counts as slower. */
const SUSPECT_FACTOR = 20;

/**
 * Gets the target with the shortest expected answer, or undefined where all
 * have been tried.
 *
 * @example
 * ```ts
 * const target = placeCall({ targets, dataCentre: "a", tried: new Set() });
 * ```
 */
export function placeCall(input: CallPlacementInput): CallTarget | undefined {
  const { targets, dataCentre, tried } = input;
  const costOf = (target: CallTarget) =>
    target.latencyMs * (1 + target.inFlight) *
    (target.dataCentre === dataCentre ? 1 : DISTANCE_FACTOR) *
    (target.isSuspect ? SUSPECT_FACTOR : 1);
  return targets
    .filter((target) => !tried.has(target.id))
    .sort((a, b) => costOf(a) - costOf(b))[0];
}

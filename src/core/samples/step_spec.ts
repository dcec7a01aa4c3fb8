/** A step as its trainer submits it. */

/** A group of samples of one prompt. */
export interface GroupSpec {
  /** Identifier, unique in the step. */
  readonly id: string;
  /** Body of the model request, as for `/v1/chat/completions`. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Samples to be made. */
  readonly samples: number;
}

/** Staleness bound of a step. */
export interface StalenessBound {
  /** Versions that a sample may lie behind the newest announced. */
  readonly maxVersionsBehind: number;
  /** Age of a sample at delivery, counted from its first token. */
  readonly maxAgeMs?: number;
}

/** A step: groups of samples that a trainer waits for. */
export interface StepSpec {
  /** Identifier, unique in its workspace. */
  readonly id: string;
  /** Workspace that pays for it. */
  readonly workspace: string;
  /** Key under which it was submitted. */
  readonly keyId: string;
  /** Route of its requests. */
  readonly route: string;
  /** Model that its samples come from. */
  readonly model: string;
  /** Groups of samples. */
  readonly groups: readonly GroupSpec[];
  /** Staleness bound. */
  readonly staleness: StalenessBound;
  /** Time by which it is wanted whole, in milliseconds since the epoch. */
  readonly deadline: number;
  /** Tokens of a sample, by estimate. */
  readonly tokensPerSample: number;
  /** Idempotent route that scores each sample; none where absent. */
  readonly scoringRoute?: string;
}

/** One sample to be made: a place in a step. */
export interface Slot {
  /** Position in the step, from 0. */
  readonly index: number;
  /** Group that it belongs to. */
  readonly group: GroupSpec;
  /** Position in the group, from 0. */
  readonly indexInGroup: number;
}

/**
 * Gets the slots of a step, group by group.
 *
 * @example
 * ```ts
 * slotsOf(step).length; // the number of samples of the step
 * ```
 */
export function slotsOf(step: Pick<StepSpec, "groups">): Slot[] {
  const slots: Slot[] = [];
  for (const group of step.groups) {
    for (let i = 0; i < group.samples; i += 1) {
      slots.push({ index: slots.length, group, indexInGroup: i });
    }
  }
  return slots;
}

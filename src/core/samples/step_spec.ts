/** Specification of a step as submitted by a trainer. */

/** A group of samples from one prompt. */
export interface GroupSpec {
  /** Identifier, unique in the step. */
  readonly id: string;
  /** Body of the model request, as for `/v1/chat/completions`. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Number of samples to generate. */
  readonly samples: number;
}

/** Bound on the staleness of samples at delivery. */
export interface StalenessBound {
  /** Maximum number of versions behind the newest announced version. */
  readonly maxVersionsBehind: number;
  /** Maximum age since the first token, in milliseconds; absent for any. */
  readonly maxAgeMs?: number;
}

/** A step: groups of samples for which a trainer waits. */
export interface StepSpec {
  /** Identifier, unique in the workspace. */
  readonly id: string;
  /** Workspace that is charged for the step. */
  readonly workspace: string;
  /** Identifier of the API key with which the step was submitted. */
  readonly keyId: string;
  /** Route of the model requests. */
  readonly route: string;
  /** Model that generates the samples. */
  readonly model: string;
  /** Groups of samples. */
  readonly groups: readonly GroupSpec[];
  /** Staleness bound of the samples. */
  readonly staleness: StalenessBound;
  /** Due time of all samples, in milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Estimated number of tokens of a sample. */
  readonly tokensPerSample: number;
  /** Idempotent route that scores each sample; absent for no scoring. */
  readonly scoringRoute?: string;
}

/** Position of one sample in a step. */
export interface Slot {
  /** Position in the step, from 0. */
  readonly index: number;
  /** Group of the slot. */
  readonly group: GroupSpec;
  /** Position in the group, from 0. */
  readonly indexInGroup: number;
}

/**
 * Gets the slots of a step, ordered by group.
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

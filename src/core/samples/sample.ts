/** Samples, before and after their delivery. */

/** Score of a sample, or the stated lack of one. */
export type SampleScore =
  | { readonly type: "scored"; readonly value: number }
  | { readonly type: "missing"; readonly reason: string };

/** A whole answer of an engine for one slot. */
export interface MadeSample {
  /** Slot that it fills. */
  readonly slot: number;
  /** Generated text. */
  readonly text: string;
  /** Reason for which the generation ended. */
  readonly finishReason: string;
  /** Tokens generated. */
  readonly tokens: number;
  /** Versions that the engine reported with its chunks, ascending. */
  readonly versions: readonly number[];
  /** Time of the first token, in milliseconds since the epoch. */
  readonly firstTokenAt: number;
  /** Target that made it. */
  readonly targetId: string;
  /** Score; absent where the step asks for none. */
  readonly score?: SampleScore;
}

/** A sample with its number: the same bytes on every read. */
export interface DeliveredSample extends MadeSample {
  /** Position in the stream of the step, from 1. */
  readonly number: number;
  /** Group of the slot. */
  readonly group: string;
  /** Position in the group, from 0. */
  readonly indexInGroup: number;
}

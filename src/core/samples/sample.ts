/** Samples before and after delivery. */

/** Score of a sample, or the reason why it has none. */
export type SampleScore =
  | { readonly type: "scored"; readonly value: number }
  | { readonly type: "missing"; readonly reason: string };

/** A complete response of an engine for one slot. */
export interface CompletedSample {
  /** Index of the slot that the sample fills. */
  readonly slot: number;
  /** Generated text. */
  readonly text: string;
  /** Reason why the generation ended, as reported by the engine. */
  readonly finishReason: string;
  /** Number of generated tokens. */
  readonly tokens: number;
  /** Weight versions that the engine reported with its chunks, ascending. */
  readonly versions: readonly number[];
  /** Time of the first token, in milliseconds since the Unix epoch. */
  readonly firstTokenAt: number;
  /** Target that generated the sample. */
  readonly targetId: string;
  /** Score; absent if the step has no scoring route. */
  readonly score?: SampleScore;
}

/** A numbered sample; every read returns the same bytes. */
export interface DeliveredSample extends CompletedSample {
  /** Position in the stream of the step, from 1. */
  readonly number: number;
  /** Group of the slot. */
  readonly group: string;
  /** Position in the group, from 0. */
  readonly indexInGroup: number;
}

/** The interface through which requests reach the steps of a data centre. */
import type {
  SlotFailure,
  StepKey,
  StepStatus,
} from "../../core/ledger/mod.ts";
import type { DeliveredSample, StepSpec } from "../../core/samples/mod.ts";

/** State of a step, with the samples that a reader asked for. */
export interface StepState {
  /** Status of the step. */
  readonly status: StepStatus;
  /** Total number of samples of the step. */
  readonly total: number;
  /** Number of samples that have been assigned a sequence number. */
  readonly delivered: number;
  /** Highest acknowledged sequence number. */
  readonly acked: number;
  /** Slots that failed permanently. */
  readonly failures: readonly SlotFailure[];
  /** Samples after the requested sequence number, in order. */
  readonly samples: readonly DeliveredSample[];
}

/** Options of {@link StepPort.read}. */
export interface ReadOptions {
  /** Sequence number of the last sample that the reader has. */
  readonly after: number;
  /** Maximum time to wait for a sample, in milliseconds. */
  readonly waitMs: number;
  /** Maximum number of samples returned. */
  readonly max: number;
}

/** Access to the steps of a data centre, on whichever instance they run. */
export interface StepPort {
  /** Submits a step; submitting the same step again has no effect. */
  submit(spec: StepSpec): Promise<StepState>;
  /**
   * Assigns sequence numbers to ready samples, and returns those after a given
   * number.
   */
  read(key: StepKey, options: ReadOptions): Promise<StepState>;
  /** Acknowledges all samples up to a sequence number. */
  ack(key: StepKey, through: number): Promise<StepState>;
  /** Cancels a step and its items. */
  cancel(key: StepKey): Promise<StepState>;
  /** Gets the state of a step without samples. */
  show(key: StepKey): Promise<StepState>;
}

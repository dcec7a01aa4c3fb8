/** What the entry needs of the steps of its data centre. */
import type {
  SlotFailure,
  StepKey,
  StepStatus,
} from "../../core/ledger/mod.ts";
import type { DeliveredSample, StepSpec } from "../../core/samples/mod.ts";

/** What a read of a step gives. */
export interface StepReading {
  /** State of the step. */
  readonly status: StepStatus;
  /** Samples of the step. */
  readonly total: number;
  /** Samples that have their numbers. */
  readonly delivered: number;
  /** Highest acknowledged number. */
  readonly acked: number;
  /** Slots that no target can fill. */
  readonly failures: readonly SlotFailure[];
  /** Samples after the asked number, in order. */
  readonly samples: readonly DeliveredSample[];
}

/** Options of {@link StepPort.read}. */
export interface ReadOptions {
  /** Last number that the reader has. */
  readonly after: number;
  /** Time to wait for a sample, in milliseconds. */
  readonly waitMs: number;
  /** Samples returned at most. */
  readonly max: number;
}

/** Access to the steps of the data centre, wherever they run. */
export interface StepPort {
  /** Submits a step; the same step again changes nothing. */
  submit(spec: StepSpec): Promise<StepReading>;
  /** Gives ready samples their numbers and gets those after a number. */
  read(key: StepKey, options: ReadOptions): Promise<StepReading>;
  /** Acknowledges samples up to a number. */
  ack(key: StepKey, through: number): Promise<StepReading>;
  /** Cancels a step and its running work. */
  cancel(key: StepKey): Promise<StepReading>;
  /** Gets the state of a step, without samples. */
  show(key: StepKey): Promise<StepReading>;
}

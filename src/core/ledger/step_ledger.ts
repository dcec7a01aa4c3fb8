/** Steps and their numbered samples, as recorded in the ledger. */
import type { SlotFailure } from "./ledger_record.ts";
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import {
  type CompletedSample,
  type DeliveredSample,
  type Slot,
  slotsOf,
  type StepSpec,
} from "../samples/mod.ts";

/** Status of a step. */
export const StepStatus = {
  Open: "open",
  Done: "done",
  Cancelled: "cancelled",
} as const;

/** One of the values of {@link StepStatus}. */
export type StepStatus = typeof StepStatus[keyof typeof StepStatus];

/** Serializable state of a step. */
export interface StepLedgerState {
  readonly spec: StepSpec;
  readonly status: StepStatus;
  readonly acked: number;
  readonly samples: readonly DeliveredSample[];
  readonly deliveredSlots: readonly number[];
  readonly failures: readonly SlotFailure[];
}

/**
 * Records the samples of a step. Each slot is delivered at most once; samples
 * are numbered from 1 in the order of delivery.
 */
export class StepLedger {
  /** Step as submitted. */
  readonly spec: StepSpec;
  readonly #slots: readonly Slot[];
  readonly #deliveredSlots = new Set<number>();
  readonly #failures = new Map<number, SlotFailure>();
  #samples: DeliveredSample[] = [];
  #status: StepStatus = StepStatus.Open;
  #acked = 0;

  /** Creates an open step without samples. */
  constructor(spec: StepSpec) {
    this.spec = spec;
    this.#slots = slotsOf(spec);
  }

  /** Gets the number of slots of the step. */
  get total(): number {
    return this.#slots.length;
  }

  /** Gets the status of the step. */
  get status(): StepStatus {
    return this.#status;
  }

  /** Gets the highest acknowledged sample number. */
  get acked(): number {
    return this.#acked;
  }

  /** Gets the number of delivered samples, acknowledged ones included. */
  get delivered(): number {
    return this.#deliveredSlots.size;
  }

  /** Gets the indexes of the delivered slots. */
  get deliveredSlots(): ReadonlySet<number> {
    return this.#deliveredSlots;
  }

  /**
   * Numbers and stores samples.
   *
   * @throws InvariantError if a slot repeats or has already ended, if the step
   * is cancelled, or if a sample has no versions.
   */
  deliver(samples: readonly CompletedSample[]): this {
    this.#assertDeliverable(samples);
    for (const sample of samples) {
      const slot = this.#slots[sample.slot];
      this.#deliveredSlots.add(sample.slot);
      this.#samples.push({
        ...sample,
        number: this.#deliveredSlots.size,
        group: slot.group.id,
        indexInGroup: slot.indexInGroup,
      });
    }
    return this.#closeIfComplete();
  }

  /** Gets the slots for which no sample can be generated. */
  get failures(): readonly SlotFailure[] {
    return [...this.#failures.values()];
  }

  /**
   * Records that no sample can be generated for a slot.
   *
   * @throws InvariantError if the slot has been delivered.
   */
  fail(failure: SlotFailure): this {
    assertInvariant(
      !this.#deliveredSlots.has(failure.slot),
      Invariant.SampleOnce,
      `Slot ${failure.slot} of step ${this.spec.id} is already delivered`,
    );
    this.#failures.set(failure.slot, failure);
    return this.#closeIfComplete();
  }

  /** Gets the unacknowledged samples with a number greater than `after`. */
  read(after: number): DeliveredSample[] {
    return this.#samples.filter((sample) => sample.number > after);
  }

  /** Acknowledges all samples up to a number and frees their memory. */
  ack(through: number): this {
    this.#acked = Math.max(this.#acked, Math.min(through, this.delivered));
    this.#samples = this.#samples.filter((s) => s.number > this.#acked);
    return this;
  }

  /** Cancels the step. Ignored if it has ended. */
  cancel(): this {
    if (this.#status === StepStatus.Open) this.#status = StepStatus.Cancelled;
    return this;
  }

  #closeIfComplete(): this {
    const endedSlots = this.delivered + this.#failures.size;
    if (endedSlots === this.total && this.#status === StepStatus.Open) {
      this.#status = StepStatus.Done;
    }
    return this;
  }

  #assertDeliverable(samples: readonly CompletedSample[]): void {
    const distinctSlots = new Set(samples.map((sample) => sample.slot));
    assertInvariant(
      distinctSlots.size === samples.length &&
        this.#status !== StepStatus.Cancelled,
      Invariant.SampleOnce,
      `Samples repeat a slot, or step ${this.spec.id} is cancelled`,
    );
    for (const { slot, versions } of samples) {
      const detail = `Invalid sample for slot ${slot} of step ${this.spec.id}`;
      assertInvariant(
        slot in this.#slots && !this.#deliveredSlots.has(slot) &&
          !this.#failures.has(slot),
        Invariant.SampleOnce,
        detail,
      );
      const isVersioned = versions.length > 0;
      assertInvariant(isVersioned, Invariant.SampleVersioned, detail);
    }
  }

  save(): StepLedgerState {
    return {
      spec: this.spec,
      status: this.#status,
      acked: this.#acked,
      samples: [...this.#samples],
      deliveredSlots: [...this.#deliveredSlots],
      failures: this.failures,
    };
  }

  static load(state: StepLedgerState): StepLedger {
    const step = new StepLedger(state.spec);
    for (const slot of state.deliveredSlots) step.#deliveredSlots.add(slot);
    for (const failure of state.failures) {
      step.#failures.set(failure.slot, failure);
    }
    step.#samples = [...state.samples];
    step.#status = state.status;
    step.#acked = state.acked;
    return step;
  }
}

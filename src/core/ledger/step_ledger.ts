/** Steps and their numbered samples, as the ledger keeps them. */
import type { SlotFailure } from "./ledger_record.ts";
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import {
  type DeliveredSample,
  type MadeSample,
  type Slot,
  slotsOf,
  type StepSpec,
} from "../samples/mod.ts";

/** State of a step. */
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

/** Gives each slot of a step its number, once. */
export class StepLedger {
  /** The step as submitted. */
  readonly spec: StepSpec;
  readonly #slots: readonly Slot[];
  readonly #deliveredSlots = new Set<number>();
  readonly #failures = new Map<number, SlotFailure>();
  #samples: DeliveredSample[] = [];
  #status: StepStatus = StepStatus.Open;
  #acked = 0;

  /** Creates a step without delivered samples. */
  constructor(spec: StepSpec) {
    this.spec = spec;
    this.#slots = slotsOf(spec);
  }

  /** Gets the number of samples of the step. */
  get total(): number {
    return this.#slots.length;
  }

  /** Gets the state of the step. */
  get status(): StepStatus {
    return this.#status;
  }

  /** Gets the highest acknowledged number. */
  get acked(): number {
    return this.#acked;
  }

  /** Gets the number of delivered samples. */
  get delivered(): number {
    return this.#deliveredSlots.size;
  }

  /** Gets the delivered slots. */
  get deliveredSlots(): ReadonlySet<number> {
    return this.#deliveredSlots;
  }

  /** Gives samples their numbers. */
  deliver(made: readonly MadeSample[]): this {
    this.#assertDeliverable(made);
    for (const sample of made) {
      const slot = this.#slots[sample.slot];
      this.#deliveredSlots.add(sample.slot);
      this.#samples.push({
        ...sample,
        number: this.#deliveredSlots.size,
        group: slot.group.id,
        indexInGroup: slot.indexInGroup,
      });
    }
    return this.#endIfFull();
  }

  /** Gets the slots that no target can fill. */
  get failures(): readonly SlotFailure[] {
    return [...this.#failures.values()];
  }

  /** Records that no target can fill a slot. */
  fail(failure: SlotFailure): this {
    assertInvariant(
      !this.#deliveredSlots.has(failure.slot),
      Invariant.SampleOnce,
      `Slot ${failure.slot} of step ${this.spec.id} is delivered`,
    );
    this.#failures.set(failure.slot, failure);
    return this.#endIfFull();
  }

  /** Gets the samples after a number that are not acknowledged. */
  read(after: number): DeliveredSample[] {
    return this.#samples.filter((sample) => sample.number > after);
  }

  /** Acknowledges all samples up to a number, which frees them. */
  ack(through: number): this {
    this.#acked = Math.max(this.#acked, Math.min(through, this.delivered));
    this.#samples = this.#samples.filter((s) => s.number > this.#acked);
    return this;
  }

  /** Cancels the step. */
  cancel(): this {
    if (this.#status === StepStatus.Open) this.#status = StepStatus.Cancelled;
    return this;
  }

  #endIfFull(): this {
    const ended = this.delivered + this.#failures.size;
    if (ended === this.total && this.#status === StepStatus.Open) {
      this.#status = StepStatus.Done;
    }
    return this;
  }

  #assertDeliverable(made: readonly MadeSample[]): void {
    const distinct = new Set(made.map((sample) => sample.slot));
    assertInvariant(
      distinct.size === made.length && this.#status !== StepStatus.Cancelled,
      Invariant.SampleOnce,
      `Step ${this.spec.id}`,
    );
    for (const { slot, versions } of made) {
      const detail = `Slot ${slot} of step ${this.spec.id}`;
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

  /** Gets the serializable state. */
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

  /** Creates a step from its saved state. */
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

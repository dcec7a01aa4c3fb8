/** Replicated state of a data centre's ledger, computed from its records. */
import { InvariantError } from "../invariants/mod.ts";
import { Quarantine, type SuspicionChange } from "../quarantine/mod.ts";
import { CallLedger, type CallLedgerState } from "./call_ledger.ts";
import {
  formatStepKey,
  type LedgerRecord,
  type StepKey,
} from "./ledger_record.ts";
import { StepLedger, type StepLedgerState, StepStatus } from "./step_ledger.ts";
import { UsageLedger, type UsageLedgerState } from "./usage_ledger.ts";

/** Serializable state of a ledger. */
export interface LedgerSnapshot {
  readonly steps: readonly StepLedgerState[];
  readonly calls: CallLedgerState;
  readonly usage: UsageLedgerState;
  readonly suspicions: readonly SuspicionChange[];
}

type RecordHandlers = {
  readonly [T in LedgerRecord["type"]]: (
    record: Extract<LedgerRecord, { type: T }>,
  ) => void;
};

/** Number of ended steps retained, so that late reads can still be answered. */
const MAX_ENDED_STEPS = 256;

/**
 * Applies records in log order; equal records give equal state.
 *
 * @example
 * ```ts
 * const ledger = new LedgerState();
 * ledger.apply({ type: "stepSubmitted", step });
 * ledger.getStep({ workspace: "artis", step: step.id })?.total;
 * ```
 */
export class LedgerState {
  /** Non-idempotent calls. */
  readonly calls = new CallLedger();
  /** Usage by window. */
  readonly usage = new UsageLedger();
  /** Requests suspected of crashing targets. */
  readonly quarantine = new Quarantine();
  readonly #steps = new Map<string, StepLedger>();
  readonly #handlers: RecordHandlers = {
    stepSubmitted: ({ step }) => this.#addStep(new StepLedger(step)),
    samplesDelivered: (record) => {
      this.getStep(record)?.deliver(record.samples);
    },
    slotFailed: (record) => {
      this.getStep(record)?.fail(record.failure);
    },
    samplesAcked: (record) => {
      this.getStep(record)?.ack(record.through);
      this.#evictEndedSteps();
    },
    stepCancelled: (record) => {
      this.getStep(record)?.cancel();
      this.#evictEndedSteps();
    },
    callStarted: (record) => {
      const { fingerprint, owner } = record;
      this.calls.start(record, { fingerprint, owner });
    },
    callFinished: (record) => {
      this.calls.finish(record, record.answer);
    },
    callNotRun: (record) => {
      this.calls.clear(record);
    },
    callLost: (record) => {
      this.calls.markLost(record);
    },
    suspicion: ({ change }) => this.quarantine.merge(change),
    usage: ({ entries }) => {
      this.usage.add(entries);
    },
    windowSealed: ({ window, next }) => {
      this.usage.seal(window, next);
    },
    windowReported: ({ window }) => {
      this.usage.onReported(window);
    },
  };

  /** Gets a step, or undefined if it is not recorded. */
  getStep(key: StepKey): StepLedger | undefined {
    return this.#steps.get(formatStepKey(key));
  }

  /** Gets all steps. */
  get steps(): readonly StepLedger[] {
    return [...this.#steps.values()];
  }

  /**
   * Applies a record. A record that violates an invariant is rejected and
   * changes nothing.
   *
   * @returns The violation, or undefined if the record was applied.
   */
  apply(record: LedgerRecord): InvariantError | undefined {
    const handler = this.#handlers[record.type] as (r: LedgerRecord) => void;
    try {
      handler(record);
      return undefined;
    } catch (err) {
      if (err instanceof InvariantError) return err;
      throw err;
    }
  }

  save(): LedgerSnapshot {
    return {
      steps: this.steps.map((step) => step.save()),
      calls: this.calls.save(),
      usage: this.usage.save(),
      suspicions: this.quarantine.save(),
    };
  }

  /** Replaces the state with a saved one. */
  load(snapshot: LedgerSnapshot): this {
    this.#steps.clear();
    for (const step of snapshot.steps) this.#addStep(StepLedger.load(step));
    this.calls.load(snapshot.calls);
    this.usage.load(snapshot.usage);
    for (const change of snapshot.suspicions) this.quarantine.merge(change);
    return this;
  }

  #addStep(step: StepLedger): void {
    const name = formatStepKey({
      workspace: step.spec.workspace,
      step: step.spec.id,
    });
    if (!this.#steps.has(name)) this.#steps.set(name, step);
  }

  #evictEndedSteps(): void {
    const ended = this.steps.filter((step) =>
      step.status === StepStatus.Cancelled ||
      (step.status === StepStatus.Done && step.acked === step.delivered)
    );
    for (const step of ended.slice(0, ended.length - MAX_ENDED_STEPS)) {
      const { workspace, id } = step.spec;
      this.#steps.delete(formatStepKey({ workspace, step: id }));
    }
  }
}

/** The state of a data centre's ledger: a fold over its records. */
import { InvariantError } from "../invariants/mod.ts";
import {
  Quarantine,
  Suspicion,
  type SuspicionChange,
} from "../quarantine/mod.ts";
import { CallLedger, type CallLedgerState } from "./call_ledger.ts";
import type { LedgerRecord, StepKey } from "./ledger_record.ts";
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

/** Ended steps remembered, so that a late read is answered. */
const MAX_ENDED_STEPS = 256;

/**
 * Applies records in order; the same records give the same state.
 *
 * @example
 * ```ts
 * const ledger = new LedgerState();
 * ledger.apply({ type: "stepSubmitted", step });
 * ledger.getStep({ workspace: "artis", step: step.id })?.total;
 * ```
 */
export class LedgerState {
  /** Calls that may not be repeated. */
  readonly calls = new CallLedger();
  /** Usage windows. */
  readonly usage = new UsageLedger();
  /** Requests that crash targets. */
  readonly quarantine = new Quarantine();
  readonly #suspicions = new Map<string, SuspicionChange>();
  readonly #steps = new Map<string, StepLedger>();
  readonly #handlers: RecordHandlers = {
    stepSubmitted: ({ step }) => this.#submit(new StepLedger(step)),
    samplesDelivered: (record) => {
      this.getStep(record)?.deliver(record.samples);
    },
    slotFailed: (record) => {
      this.getStep(record)?.fail(record.failure);
    },
    samplesAcked: (record) => {
      this.getStep(record)?.ack(record.through);
      this.#forgetEnded();
    },
    stepCancelled: (record) => {
      this.getStep(record)?.cancel();
      this.#forgetEnded();
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
      this.calls.lose(record);
    },
    suspicion: ({ change }) => this.#suspect(change),
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

  /** Gets a step. */
  getStep(key: StepKey): StepLedger | undefined {
    return this.#steps.get(nameOf(key));
  }

  /** Gets all steps. */
  get steps(): readonly StepLedger[] {
    return [...this.#steps.values()];
  }

  /**
   * Applies a record; one that would break a promise is rejected whole.
   * @returns The promise that would have been broken.
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

  /** Gets the serializable state. */
  save(): LedgerSnapshot {
    return {
      steps: this.steps.map((step) => step.save()),
      calls: this.calls.save(),
      usage: this.usage.save(),
      suspicions: [...this.#suspicions.values()],
    };
  }

  /** Replaces the state by a saved one. */
  load(snapshot: LedgerSnapshot): this {
    this.#steps.clear();
    for (const step of snapshot.steps) this.#submit(StepLedger.load(step));
    this.calls.load(snapshot.calls);
    this.usage.load(snapshot.usage);
    for (const change of snapshot.suspicions) this.#suspect(change);
    return this;
  }

  #submit(step: StepLedger): void {
    const name = nameOf({ workspace: step.spec.workspace, step: step.spec.id });
    if (!this.#steps.has(name)) this.#steps.set(name, step);
  }

  #suspect(change: SuspicionChange): void {
    this.quarantine.merge(change);
    const { fingerprint } = change;
    if (this.quarantine.suspicionOf(fingerprint) === Suspicion.Clear) {
      this.#suspicions.delete(fingerprint);
    } else if (change.suspicion !== Suspicion.Clear) {
      this.#suspicions.set(fingerprint, change);
    }
  }

  #forgetEnded(): void {
    const ended = this.steps.filter((step) =>
      step.status === StepStatus.Cancelled ||
      (step.status === StepStatus.Done && step.acked === step.delivered)
    );
    for (const step of ended.slice(0, ended.length - MAX_ENDED_STEPS)) {
      const { workspace, id } = step.spec;
      this.#steps.delete(nameOf({ workspace, step: id }));
    }
  }
}

function nameOf(key: StepKey): string {
  return `${key.workspace}/${key.step}`;
}

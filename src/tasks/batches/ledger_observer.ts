/** Reacts to the commands that the ledger's log has applied. */
import {
  type BatchCommand,
  type BatchResult,
  type BatchState,
  ResultState,
  textBytesOf,
} from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { BatchRunner } from "./batch_runner.ts";
import type { ResultReader } from "./result_reader.ts";

/** Options of {@link LedgerObserver}. */
export interface LedgerObserverOptions {
  readonly state: () => BatchState;
  readonly runner: BatchRunner;
  readonly reader: ResultReader;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets whether the local replica leads. */
  readonly isLeader: () => boolean;
}

/** Tells the runner and waiting readers of applied commands, and logs them. */
export class LedgerObserver {
  readonly #options: LedgerObserverOptions;

  constructor(options: LedgerObserverOptions) {
    this.#options = options;
  }

  /** Handles a command that has just been applied. */
  onApplied(command: BatchCommand): void {
    this.#handlers[command.type](command as never);
  }

  readonly #handlers: {
    readonly [T in BatchCommand["type"]]: (
      command: Extract<BatchCommand, { type: T }>,
    ) => void;
  } = {
    accept: ({ spec }) => {
      this.#options.metrics.count("batches.accepted");
      this.#logIfLeader("batchAccepted", {
        batch: spec.id,
        workspace: spec.workspace,
        items: spec.items.length,
        minVersion: spec.minVersion,
        objectiveMs: spec.objectiveMs,
      });
      const { runner } = this.#options;
      runner.admission.drain.onAccepted(spec, performance.now());
      runner.schedulePlacement();
    },
    list: ({ records }) => {
      for (const { batch, result } of records) this.#onResult(batch, result);
    },
    keep: ({ records }) => {
      for (const { batch, item, isComplete } of records) {
        if (isComplete) this.#options.runner.onTextStored(batch, item);
      }
    },
    end: ({ batch }) => {
      this.#recordDuration(batch);
      this.#logIfLeader("batchEnded", { batch });
      this.#options.runner.onBatchEnded(batch);
      this.#options.runner.admission.drain.onEnded(batch, performance.now());
      this.#options.reader.wake(batch);
    },
    forget: ({ batches }) => {
      const { drain } = this.#options.runner.admission;
      for (const batch of batches) drain.onEnded(batch, performance.now());
    },
  };

  #recordDuration(batch: string): void {
    const spec = this.#options.state().get(batch)?.spec;
    if (spec === undefined) return;
    const tookMs = Date.now() - spec.acceptedAt;
    this.#options.metrics.timing("batches.duration", tookMs);
  }

  #onResult(batch: string, result: BatchResult): void {
    this.#options.runner.onResultStored(batch, result.id);
    this.#options.runner.admission.drain.onResult(batch, result.id, {
      isCompleted: result.state === ResultState.Completed,
      now: performance.now(),
    });
    this.#options.metrics.count(RESULT_METRIC_NAMES[result.state]);
    this.#logIfLeader("itemListed", {
      batch,
      item: result.id,
      state: result.state,
      versions: result.versions.join(","),
      bytes: textBytesOf(result),
    });
    this.#options.reader.wake(batch);
  }

  /** Logs an event on the leader only, since every replica applies it. */
  #logIfLeader(
    name: "batchAccepted" | "batchEnded" | "itemListed",
    fields: Readonly<Record<string, string | number>>,
  ): void {
    if (this.#options.isLeader()) this.#options.logger.event(name, fields);
  }
}

const RESULT_METRIC_NAMES = {
  [ResultState.Completed]: "items.completed",
  [ResultState.Abandoned]: "items.abandoned",
} as const;

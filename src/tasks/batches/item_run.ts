/** One run of an item at a target. */
import {
  type BatchItem,
  type BatchRecord,
  type RunEvent,
  RunText,
} from "../../core/batches/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";
import {
  type EnginePort,
  type OpenRun,
  RunFailure,
  type RunSink,
} from "./engine_port.ts";

/** Hears how a run goes. */
export interface ItemRunListener {
  onGap(run: ItemRun, gapMs: number): void;
  onWhole(run: ItemRun): void;
  onBroken(run: ItemRun, failure: RunFailure, detail: string): void;
}

/** Options of {@link ItemRun}. */
export interface ItemRunOptions {
  readonly record: BatchRecord;
  readonly item: BatchItem;
  readonly target: TargetReport;
  /** Text of earlier runs. */
  readonly text: RunText;
  readonly engines: EnginePort;
  readonly listener: ItemRunListener;
  readonly now: () => number;
}

/** Runs an item once, and collects what comes. */
export class ItemRun implements RunSink {
  readonly record: BatchRecord;
  readonly item: BatchItem;
  readonly target: TargetReport;
  readonly text: RunText;
  readonly startedAt: number;
  /** Last event of this run's text that has been stored; 0 for none. */
  keptId = 0;
  readonly #options: ItemRunOptions;
  readonly #open: OpenRun;
  #heardAt: number;
  #events = 0;
  #isOver = false;

  /** Opens the run. */
  constructor(options: ItemRunOptions) {
    const { record, item, target, text, engines } = options;
    this.#options = options;
    this.record = record;
    this.item = item;
    this.target = target;
    this.text = text;
    this.startedAt = options.now();
    this.#heardAt = this.startedAt;
    const { spec } = record;
    const isBound = spec.isSingleVersion && text.versions.length > 0;
    this.#open = engines.open({
      target,
      id: item.id,
      host: spec.host,
      path: item.path,
      headers: Object.entries(item.headers),
      body: item.body,
      workspace: spec.workspace,
      resumeAfter: text.lastId,
      expectVersion: isBound ? text.versions[0] : undefined,
    }, this);
  }

  /** Gets the time since anything came, in milliseconds. */
  get silentMs(): number {
    return this.#options.now() - this.#heardAt;
  }

  /** Gets the events of this run. */
  get events(): number {
    return this.#events;
  }

  /** Gets whether the run has ended. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Ends the run without a word to the listener. */
  cancel(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#open.cancel();
  }

  /** Takes the version that generates from now on. */
  onVersion(version: number): void {
    if (this.#isOver) return;
    const { minVersion, isSingleVersion } = this.record.spec;
    const isOther = isSingleVersion &&
      this.text.versions.some((known) => known !== version);
    if (version < minVersion || isOther) {
      this.#break(RunFailure.OtherVersion, `Version ${version}`);
      return;
    }
    this.text.setVersion(version);
  }

  /** Takes an event. */
  onEvent(event: RunEvent): void {
    if (this.#isOver) return;
    const now = this.#options.now();
    if (!this.text.add(event)) {
      this.#break(
        RunFailure.Broken,
        `Event ${event.id} after ${this.text.lastId}`,
      );
      return;
    }
    this.#events += 1;
    const gapMs = now - this.#heardAt;
    this.#heardAt = now;
    if (this.#events > 1) this.#options.listener.onGap(this, gapMs);
  }

  /** Takes the end of the whole output. */
  onEnd(): void {
    if (this.#isOver) return;
    if (this.text.size === 0) {
      this.#break(RunFailure.Broken, "No event");
      return;
    }
    this.#isOver = true;
    this.#options.listener.onWhole(this);
  }

  /** Takes the end without the whole output. */
  onFailure(failure: RunFailure, detail: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#options.listener.onBroken(this, failure, detail);
  }

  #break(failure: RunFailure, detail: string): void {
    this.cancel();
    this.#options.listener.onBroken(this, failure, detail);
  }
}

/** A single run of an item at a target. */
import {
  type BatchItem,
  type BatchRecord,
  outputLimitOf,
  type RunEvent,
  RunText,
} from "../../core/batches/mod.ts";
import type { TargetReport, TargetSigns } from "../../core/registry/mod.ts";
import type { SendGuard } from "../send_guard.ts";
import {
  type EnginePort,
  RunFailure,
  type RunHandle,
  type RunSink,
} from "./engine_port.ts";

/** Observes the progress of item runs. */
export interface ItemRunListener {
  /** Called with the time from the start of a run to its first event. */
  onFirstEvent(run: ItemRun, afterMs: number): void;
  onEventGap(run: ItemRun, gapMs: number): void;
  onCompleted(run: ItemRun): void;
  onFailed(run: ItemRun, failure: RunFailure, detail: string): void;
  /** Called with what the run's target says of itself. */
  onSigns(run: ItemRun, signs: TargetSigns): void;
}

/** Options of {@link ItemRun}. */
export interface ItemRunOptions {
  readonly record: BatchRecord;
  readonly item: BatchItem;
  readonly target: TargetReport;
  /** Output of earlier runs, which this run continues. */
  readonly text: RunText;
  /** Whether the target should have the prompt in its cache. */
  readonly isPromptCached: boolean;
  /** Whether the long-run pace of the target is known at the start. */
  readonly isPaceKnown: boolean;
  readonly engines: EnginePort;
  readonly listener: ItemRunListener;
  readonly now: () => number;
  /** Asked when the run is written. */
  readonly guard: SendGuard;
  /** Called when the run is written to the connection. */
  readonly onSent: () => void;
}

/** Runs an item at one target and collects its output. */
export class ItemRun implements RunSink {
  readonly record: BatchRecord;
  readonly item: BatchItem;
  readonly target: TargetReport;
  readonly text: RunText;
  readonly startedAt: number;
  /** Number of events that the run goes on after. */
  readonly resumedAfter: number;
  readonly isPromptCached: boolean;
  /** Whether the long-run pace of the target was known at the start. */
  readonly wasPaceKnown: boolean;
  /** ID of the last event stored in the ledger; 0 if none is. */
  storedEventId = 0;
  readonly #options: ItemRunOptions;
  readonly #handle: RunHandle;
  #lastEventAt: number;
  #eventCount = 0;
  #hasEnded = false;
  #isAnswered = false;

  /** Sends the item to the target. */
  constructor(options: ItemRunOptions) {
    const { record, item, target, text, engines } = options;
    this.#options = options;
    this.record = record;
    this.item = item;
    this.target = target;
    this.text = text;
    this.resumedAfter = text.lastId;
    this.isPromptCached = options.isPromptCached;
    this.wasPaceKnown = options.isPaceKnown;
    this.startedAt = options.now();
    this.#lastEventAt = this.startedAt;
    const { spec } = record;
    const isPinned = spec.isSingleVersion && text.versions.length > 0;
    this.#handle = engines.open({
      target,
      id: item.id,
      host: spec.host,
      path: item.path,
      headers: Object.entries(item.headers),
      body: item.body,
      workspace: spec.workspace,
      resumeAfter: text.lastId,
      expectVersion: isPinned ? text.versions[0] : undefined,
      guard: options.guard,
      onSent: options.onSent,
    }, this);
  }

  /** Gets the time since the last event, in milliseconds. */
  get silenceMs(): number {
    return this.#options.now() - this.#lastEventAt;
  }

  /** Gets the number of events received in this run. */
  get events(): number {
    return this.#eventCount;
  }

  /** Gets whether the run has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Gets whether the target has responded, so that it has the request. */
  get isAnswered(): boolean {
    return this.#isAnswered;
  }

  /** Cancels the run without notifying the listener. */
  cancel(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#handle.cancel();
  }

  /** Records that the target of the run answers, and no other process. */
  onVerified(): void {
    this.#isAnswered = true;
    if (!this.#hasEnded) this.text.setSoftware(this.target.software);
  }

  /**
   * Records the weight version of the following events; ends the run if the
   * batch does not allow it.
   */
  onVersion(version: number): void {
    this.#isAnswered = true;
    if (this.#hasEnded) return;
    const { minVersion, isSingleVersion } = this.record.spec;
    const isOther = isSingleVersion &&
      this.text.versions.some((earlier) => earlier !== version);
    if (version < minVersion || isOther) {
      this.#fail(
        RunFailure.OtherVersion,
        `Target generates with version ${version}`,
      );
      return;
    }
    this.text.setVersion(version);
  }

  /** Appends an event; ends the run if it is not the next in sequence. */
  onEvent(event: RunEvent): void {
    this.#isAnswered = true;
    if (this.#hasEnded) return;
    const now = this.#options.now();
    if (!this.text.add(event)) {
      this.#fail(
        RunFailure.Broken,
        `Received event ${event.id} after event ${this.text.lastId}`,
      );
      return;
    }
    const limit = outputLimitOf(this.item);
    if (this.text.length > limit) {
      this.#fail(RunFailure.Overlong, `Output is longer than ${limit}`);
      return;
    }
    this.#eventCount += 1;
    const gapMs = now - this.#lastEventAt;
    this.#lastEventAt = now;
    const { listener } = this.#options;
    if (this.#eventCount > 1) listener.onEventGap(this, gapMs);
    else listener.onFirstEvent(this, gapMs);
  }

  /** Passes on what the target says of itself; the run goes on. */
  onSigns(signs: TargetSigns): void {
    if (!this.#hasEnded) this.#options.listener.onSigns(this, signs);
  }

  /** Completes the run; output without any event counts as broken. */
  onEnd(): void {
    if (this.#hasEnded) return;
    if (this.text.size === 0) {
      this.#fail(RunFailure.Broken, "Output ended without any event");
      return;
    }
    this.#hasEnded = true;
    this.#options.listener.onCompleted(this);
  }

  /** Ends the run with a failure. */
  onFailure(failure: RunFailure, detail: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.listener.onFailed(this, failure, detail);
  }

  #fail(failure: RunFailure, detail: string): void {
    this.cancel();
    this.#options.listener.onFailed(this, failure, detail);
  }
}

/** The output of a call whose stream may go on at other targets. */
import type { OutputWriter } from "../../core/continuation/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";
import type { CallRunOptions } from "./call_run_options.ts";
import { ResumableStream } from "./resumable_stream.ts";
import {
  type AttemptOutcome,
  type CallAttempt,
  type ResponseStream,
  Verification,
} from "./target_port.ts";

/** Options of {@link CallOutput}. */
export interface CallOutputOptions
  extends Pick<CallRunOptions, "call" | "written" | "onFirstEvent"> {
  /** Receives the response as it arrives; undefined to read it completely. */
  readonly stream: ResponseStream | undefined;
  /** Whether the stream may go on at another target. */
  readonly isResumable: boolean;
  /** Called when a target sends its first event. */
  readonly onProgress: () => void;
}

const CUT_IN_EVENT: AttemptOutcome = {
  type: "failed",
  mayHaveRun: true,
  isBroken: false,
  detail: "The stream ended inside an event",
};

/** Binds the output of a call to the software version that began it. */
export class CallOutput {
  readonly #options: CallOutputOptions;
  /** The response, if it may go on at other targets. */
  readonly #resumable: ResumableStream | undefined;
  /** Who wrote the events that the caller holds. */
  #written: OutputWriter | undefined;
  /** Who writes the events of the attempt in progress. */
  #writing: OutputWriter | undefined;

  constructor(options: CallOutputOptions) {
    this.#options = options;
    this.#written = options.written;
    const { stream, isResumable, call, onProgress } = options;
    if (stream === undefined || !isResumable) return;
    this.#resumable = new ResumableStream({
      sink: stream,
      after: call.resumption?.after,
      onFirstEvent: () => this.#onFirstEvent(),
      onProgress,
    });
  }

  /** Gets who wrote the events that the caller holds; undefined if none. */
  get written(): OutputWriter | undefined {
    return this.#written;
  }

  /** Gets the number of the last event that the caller holds, if it is known. */
  get lastEventId(): number | undefined {
    return this.#resumable?.lastEventId;
  }

  /** Gets whether any part of a resumable response has been passed on. */
  get hasHead(): boolean {
    return this.#resumable?.hasHead === true;
  }

  /** Gets whether the caller holds events after which no target can go on. */
  get isCutShort(): boolean {
    return this.#resumable?.hasEvents === true &&
      this.lastEventId === undefined;
  }

  /** Gets the sink of the next attempt; undefined to read it completely. */
  beginAttempt(): ResponseStream | undefined {
    return this.#resumable?.beginAttempt() ?? this.#options.stream;
  }

  /**
   * Checks how an attempt ended: one whose response ends inside an event has
   * failed, also if its framing says that it is complete.
   */
  checkEnd(outcome: AttemptOutcome): AttemptOutcome {
    if (outcome.type === "failed" || !this.#resumable?.isCutInEvent) {
      return outcome;
    }
    return CUT_IN_EVENT;
  }

  /** Passes on the rest of a complete response. */
  end(): void {
    this.#resumable?.end();
  }

  /** Gets what an attempt at a target needs to go on with the output. */
  attemptAt(
    { service, software }: TargetReport,
  ): Pick<CallAttempt, "resumeAfter" | "verification" | "onVerified"> {
    if (this.#resumable === undefined) return {};
    const { hasEvents, lastEventId } = this.#resumable;
    this.#writing = { service, software: undefined };
    return {
      resumeAfter: hasEvents ? lastEventId : undefined,
      verification: this.#written === undefined
        ? Verification.Asked
        : Verification.Required,
      onVerified: () => {
        this.#writing = { service, software };
      },
    };
  }

  /** Binds the rest of the stream to the version that writes its first event. */
  async #onFirstEvent(): Promise<void> {
    this.#written ??= this.#writing;
    if (this.#written === undefined) return;
    await this.#options.onFirstEvent?.(this.#written);
  }
}

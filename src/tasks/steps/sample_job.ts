/** The job that generates a single sample. */
import type { WorkItem } from "../../core/dispatch/mod.ts";
import type { CompletedSample } from "../../core/samples/mod.ts";
import { RefusalReason } from "../../core/verdict/mod.ts";
import {
  type Job,
  type JobResult,
  type JobSink,
  SampleSink,
  type TargetRequest,
} from "../targets/mod.ts";

/** Options of {@link SampleJob}. */
export interface SampleJobOptions {
  /** The data by which the dispatcher schedules the job. */
  readonly item: WorkItem;
  /** Request body shared by all samples of the group. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly model: string;
  /** Index of the slot that the sample fills. */
  readonly slot: number;
  /** Timeout of an attempt, in milliseconds. */
  readonly timeoutMs?: number;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Called when an attempt starts at a target. */
  readonly onPlaced: (
    targetId: string,
    weightVersion: number | undefined,
  ) => void;
  /** Called with the completed sample. */
  readonly onCompleted: (sample: CompletedSample) => void;
  /** Called if no sample could be generated. */
  readonly onFailed: (failure: SampleFailure) => void;
}

/** Failure to generate a sample. */
export interface SampleFailure {
  readonly reason: RefusalReason;
  /** Whether a retry would fail in the same way. */
  readonly isPermanent: boolean;
}

const CHAT_PATH = "/v1/chat/completions";
const COMPLETIONS_PATH = "/v1/completions";
const DEFAULT_TIMEOUT_MS = 120_000;
const MAX_TEXT_LENGTH = 4_194_304;

/** Requests one streamed completion from an engine. */
export class SampleJob implements Job {
  /** The data by which the dispatcher schedules the job. */
  readonly item: WorkItem;
  /** The request sent to the target. */
  readonly request: TargetRequest;
  readonly #options: SampleJobOptions;

  constructor(options: SampleJobOptions) {
    this.#options = options;
    this.item = options.item;
    const isChat = "messages" in options.body;
    const body = {
      ...options.body,
      model: options.model,
      stream: true,
      stream_options: { include_usage: true },
    };
    this.request = {
      path: isChat ? CHAT_PATH : COMPLETIONS_PATH,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify(body)),
      timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    };
  }

  /** Creates the sink for the response of an attempt. */
  createSink(targetId: string): JobSink {
    const { slot, now } = this.#options;
    return new SampleJobSink({
      slot,
      targetId,
      now,
      maxTextLength: MAX_TEXT_LENGTH,
    });
  }

  /** Called when an attempt starts at a target. */
  onPlaced(targetId: string, weightVersion: number | undefined): void {
    this.#options.onPlaced(targetId, weightVersion);
  }

  /** Reports the sample or its failure; a cancelled job reports nothing. */
  onEnd(result: JobResult, sink: JobSink | undefined): void {
    if (result.type === "completed" && sink instanceof SampleJobSink) {
      this.#options.onCompleted(sink.toSample());
      return;
    }
    if (result.type === "cancelled") return;
    const isRejected = sink instanceof SampleJobSink && sink.isRejected;
    this.#options.onFailed({
      reason: RefusalReason.TargetRefused,
      isPermanent: isRejected,
    });
  }
}

class SampleJobSink extends SampleSink implements JobSink {
  readonly hasResponded = false;

  /** Gets whether the engine rejected the request as invalid (status 4xx). */
  get isRejected(): boolean {
    return this.status >= 400 && this.status < 500;
  }

  get tokens(): number {
    return this.toSample().tokens;
  }
}

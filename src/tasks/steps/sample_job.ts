/** The job that makes one sample. */
import type { WorkItem } from "../../core/dispatch/mod.ts";
import type { MadeSample } from "../../core/samples/mod.ts";
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
  /** What the dispatcher decides on. */
  readonly item: WorkItem;
  /** Body of the group. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Model. */
  readonly model: string;
  /** Slot that the sample fills. */
  readonly slot: number;
  /** Time allowed for an attempt, in milliseconds. */
  readonly timeoutMs?: number;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Hears where an attempt starts. */
  readonly onPlaced: (
    targetId: string,
    weightVersion: number | undefined,
  ) => void;
  /** Takes the whole sample. */
  readonly onMade: (sample: MadeSample) => void;
  /** Hears that there will be no sample. */
  readonly onFailed: (failure: SampleFailure) => void;
}

/** Why there is no sample. */
export interface SampleFailure {
  /** Reason. */
  readonly reason: RefusalReason;
  /** Whether trying again would fail in the same way. */
  readonly isPermanent: boolean;
}

const CHAT_PATH = "/v1/chat/completions";
const COMPLETIONS_PATH = "/v1/completions";
const DEFAULT_TIMEOUT_MS = 120_000;
const MAX_TEXT_BYTES = 4_194_304;

/** Asks an engine for one streamed answer. */
export class SampleJob implements Job {
  /** What the dispatcher decides on. */
  readonly item: WorkItem;
  /** What is sent to the target. */
  readonly request: TargetRequest;
  readonly #options: SampleJobOptions;

  /** Creates the job. */
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

  /** Creates the receiver of an attempt's answer. */
  createSink(targetId: string): JobSink {
    const { slot, now } = this.#options;
    return new SampleJobSink({
      slot,
      targetId,
      now,
      maxBytes: MAX_TEXT_BYTES,
    });
  }

  /** Hears where an attempt starts. */
  onPlaced(targetId: string, weightVersion: number | undefined): void {
    this.#options.onPlaced(targetId, weightVersion);
  }

  /** Hears how the job ended. */
  onEnd(result: JobResult, sink: JobSink | undefined): void {
    if (result.type === "completed" && sink instanceof SampleJobSink) {
      this.#options.onMade(sink.toSample());
      return;
    }
    if (result.type === "cancelled") return;
    const isRejected = sink instanceof SampleJobSink && sink.isRejected;
    const isQuarantined = result.type === "refused" &&
      result.reason === RefusalReason.Quarantined;
    this.#options.onFailed({
      reason: isQuarantined ? result.reason : RefusalReason.TargetRefused,
      isPermanent: isQuarantined || isRejected,
    });
  }
}

class SampleJobSink extends SampleSink implements JobSink {
  readonly hasAnswered = false;

  /** Gets whether the engine rejected the request itself. */
  get isRejected(): boolean {
    return this.status >= 400 && this.status < 500;
  }

  get tokens(): number {
    return this.toSample().tokens;
  }
}

/** The job that answers one caller. */
import type { ServerResponse } from "node:http";
import type { WorkItem } from "../../core/dispatch/mod.ts";
import {
  CallerSink,
  type Job,
  type JobResult,
  type JobSink,
  type TargetRequest,
} from "../targets/mod.ts";

/** Options of {@link CallJob}. */
export interface CallJobOptions {
  /** What the dispatcher decides on. */
  readonly item: WorkItem;
  /** What is sent to the target. */
  readonly request: TargetRequest;
  /** Response to the caller. */
  readonly res: ServerResponse;
  /** Bytes of an answer that are held until it is whole. */
  readonly maxAnswerBytes: number;
  /** Whether the answer is held whole, to be kept with the call. */
  readonly buffersStreams: boolean;
}

/** A call and the promise of its end. */
export class CallJob implements Job {
  /** What the dispatcher decides on. */
  readonly item: WorkItem;
  /** What is sent to the target. */
  readonly request: TargetRequest;
  /** Settles at the end of the job; never rejects. */
  readonly ended: Promise<JobResult>;
  readonly #options: CallJobOptions;
  #sink: CallerSink | undefined;
  #resolve: (result: JobResult) => void = () => {};

  /** Creates the job. */
  constructor(options: CallJobOptions) {
    this.#options = options;
    this.item = options.item;
    this.request = options.request;
    this.ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Gets the receiver of the latest attempt. */
  get sink(): CallerSink | undefined {
    return this.#sink;
  }

  /** Creates the receiver of an attempt's answer. */
  createSink(): JobSink {
    const { res, maxAnswerBytes, buffersStreams } = this.#options;
    this.#sink = new CallerSink({
      res,
      maxBytes: maxAnswerBytes,
      buffersStreams,
    });
    return this.#sink;
  }

  /** Hears how the job ended. */
  onEnd(result: JobResult): void {
    this.#resolve(result);
  }
}

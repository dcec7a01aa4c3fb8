/** The job that runs a call and responds to its caller. */
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
  /** The data by which the dispatcher schedules the job. */
  readonly item: WorkItem;
  /** The request sent to the target. */
  readonly request: TargetRequest;
  readonly res: ServerResponse;
  /** Maximum number of response bytes buffered. */
  readonly maxAnswerBytes: number;
  /**
   * Whether event streams are buffered too, so that they can be stored under
   * the call's idempotency key.
   */
  readonly buffersStreams: boolean;
}

/** Runs a call and provides its result as a promise. */
export class CallJob implements Job {
  /** The data by which the dispatcher schedules the job. */
  readonly item: WorkItem;
  /** The request sent to the target. */
  readonly request: TargetRequest;
  /** Resolves at the end of the job; never rejects. */
  readonly ended: Promise<JobResult>;
  readonly #options: CallJobOptions;
  #sink: CallerSink | undefined;
  #resolve: (result: JobResult) => void = () => {};

  constructor(options: CallJobOptions) {
    this.#options = options;
    this.item = options.item;
    this.request = options.request;
    this.ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Gets the sink of the latest attempt; undefined before the first one. */
  get sink(): CallerSink | undefined {
    return this.#sink;
  }

  /** Creates the sink for the response of an attempt. */
  createSink(): JobSink {
    const { res, maxAnswerBytes, buffersStreams } = this.#options;
    this.#sink = new CallerSink({
      res,
      maxBytes: maxAnswerBytes,
      buffersStreams,
    });
    return this.#sink;
  }

  /** Resolves {@link ended}. */
  onEnd(result: JobResult): void {
    this.#resolve(result);
  }
}

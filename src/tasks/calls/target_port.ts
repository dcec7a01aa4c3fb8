/** What the forwarder needs of the targets' client. */
import type { CallAnswer, CallRequest } from "../../core/calls/mod.ts";

/** One attempt of a call at a target. */
export interface CallAttempt {
  readonly call: CallRequest;
  readonly target: { readonly id: string; readonly address: string };
  /** Workspace of the caller; undefined on open routes. */
  readonly workspace: string | undefined;
  /** Time that the target may take, in milliseconds. */
  readonly timeoutMs: number;
  /** Ends the attempt. */
  readonly signal: AbortSignal;
  /** Connections to the target that may be open. */
  readonly maxConnections: number;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {
    readonly type: "answered";
    readonly answer: CallAnswer;
    /** Whether the target says that it has not run the call. */
    readonly isNotRun: boolean;
    /** Whether another target answers at the address. */
    readonly isMisdirected: boolean;
  }
  | {
    readonly type: "failed";
    /** Whether any byte of the call may have reached the target. */
    readonly mayHaveRun: boolean;
    readonly detail: string;
  };

/** Streams an answer as it comes. */
export interface AnswerStream {
  onHead(status: number, headers: CallAnswer["headers"]): void;
  /** Takes bytes; false where the receiver is to be waited for. */
  onData(chunk: Uint8Array): boolean;
}

/** Sends calls to targets. */
export interface TargetPort {
  /** Sends a call and reads the whole answer. */
  send(attempt: CallAttempt): Promise<AttemptOutcome>;
  /**
   * Sends a call and passes its answer on as it comes.
   *
   * A refusal of the target is read whole and is the outcome; nothing of it
   * goes to the stream. Otherwise the outcome follows the end of the stream.
   */
  stream(attempt: CallAttempt, sink: AnswerStream): Promise<AttemptOutcome>;
  /** Ends idle connections to targets that are gone. */
  keepOnly(addresses: ReadonlySet<string>): void;
}

/** The interface through which calls are sent to targets. */
import type { CallRequest, CallResponse } from "../../core/calls/mod.ts";
import type { TargetSigns } from "../../core/registry/mod.ts";
import type { ConnectionState } from "../paths/mod.ts";
import type { SendGuard, WithheldReason } from "../send_guard.ts";

/** Whether it is found out which incarnation of a target answers. */
export const Verification = {
  /** Any incarnation may answer. */
  None: "none",
  /** Any may answer; the attempt is told if it is the one that is meant. */
  Asked: "asked",
  /** Nothing is sent to another incarnation, nor taken from one. */
  Required: "required",
} as const;

/** One of the values of {@link Verification}. */
export type Verification = typeof Verification[keyof typeof Verification];

/** A single attempt of a call at a target. */
export interface CallAttempt {
  readonly call: CallRequest;
  readonly target: {
    readonly id: string;
    readonly address: string;
    readonly incarnation: number;
  };
  /**
   * Number of the last event that the caller holds, after which the target goes
   * on; undefined if the call's own headers say all.
   */
  readonly resumeAfter?: number | undefined;
  /** Whether the incarnation of the target must answer; not by default. */
  readonly verification?: Verification;
  /** Called before the head if the incarnation of the target answers. */
  readonly onVerified?: () => void;
  /** Workspace of the caller; undefined on routes that need no key. */
  readonly workspace: string | undefined;
  /** Timeout of the attempt, in milliseconds. */
  readonly timeoutMs: number;
  /** Cancels the attempt. */
  readonly signal: AbortSignal;
  /** Maximum number of open connections to the target. */
  readonly maxConnections: number;
  /** Called with what the target says of itself in the head of a response. */
  readonly onSigns: (signs: TargetSigns) => void;
  /**
   * Whether the connection must be known to be alive, since nobody sends the
   * call elsewhere if nothing comes back.
   */
  readonly needsLive?: boolean;
  /** Asked when the call is written; by default, it is sent in any case. */
  readonly guard?: SendGuard;
  /** Called with the state of the connection that the attempt uses. */
  readonly onConnection?: (getState: () => ConnectionState) => void;
}

/** Outcome of an attempt. */
export type AttemptOutcome =
  | {
    readonly type: "answered";
    readonly answer: CallResponse;
    /** Whether the target states that it did not run the call. */
    readonly isNotRun: boolean;
    /** Whether a different target responded at the address. */
    readonly isMisdirected: boolean;
  }
  | {
    readonly type: "failed";
    /** Whether any part of the call may have reached the target. */
    readonly mayHaveRun: boolean;
    /** Whether the target closed the connection before the response ended. */
    readonly isBroken: boolean;
    /** Why the call was not sent; undefined if it may have been. */
    readonly withheld?: WithheldReason;
    /** Whether nothing listens at the target's address. */
    readonly isRefused?: boolean;
    readonly detail: string;
  };

/** Receives a response while it is read. */
export interface ResponseStream {
  onHead(status: number, headers: CallResponse["headers"]): void;
  /**
   * Writes a chunk of the body; false asks the sender to wait for the receiver
   * (backpressure).
   */
  onData(chunk: Uint8Array): boolean;
  /** Waits until the receiver takes more, or has left. */
  drained(): Promise<void>;
}

/** Client for targets. */
export interface TargetPort {
  /** Sends a call and reads the complete response. */
  send(attempt: CallAttempt): Promise<AttemptOutcome>;
  /**
   * Sends a call and streams its response to a sink.
   *
   * If the target refuses the call or fails, its response is read completely
   * and returned, and nothing is written to the sink. Otherwise the promise
   * resolves at the end of the stream.
   */
  stream(attempt: CallAttempt, sink: ResponseStream): Promise<AttemptOutcome>;
  /** Gets whether an address refuses connections: its process has ended. */
  isRefusing(address: string): Promise<boolean>;
  /** Closes idle connections to all addresses except the given ones. */
  closeIdleExcept(addresses: ReadonlySet<string>): void;
}

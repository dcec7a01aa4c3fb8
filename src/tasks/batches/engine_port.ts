/** The interface through which the batch runner uses model engines. */
import type { HeaderList } from "../../core/calls/mod.ts";
import type { RunEvent } from "../../core/batches/mod.ts";
import type { TargetSigns } from "../../core/registry/mod.ts";
import type { SendGuard } from "../send_guard.ts";

/** Request to run an item at a target. */
export interface RunRequest {
  readonly target: {
    readonly id: string;
    readonly address: string;
    readonly incarnation: number;
  };
  /** Identifier of the item. */
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly workspace: string;
  /**
   * ID of the last event already received; 0 to run from the start. Only the
   * incarnation of the target goes on after an event.
   */
  readonly resumeAfter: number;
  /** Weight version that must generate the output; undefined for any. */
  readonly expectVersion: number | undefined;
  /** Asked when the run is written; by default, it is sent in any case. */
  readonly guard?: SendGuard;
  /** Called when the run is written to the connection. */
  readonly onSent?: () => void;
}

/** Reasons why a run ended before its output was complete. */
export const RunFailure = {
  /** The target refused the item and states that it did not run it. */
  Refused: "refused",
  /** A different target responded at the address. */
  Misdirected: "misdirected",
  /** The target is not known to be the one that must go on with an output. */
  Unverified: "unverified",
  /** The target has a different weight version from the one required. */
  OtherVersion: "otherVersion",
  /** The target ran the item and failed. */
  Failed: "failed",
  /** The target states that the item can never succeed. */
  Impossible: "impossible",
  /** No connection to the target was opened in time. */
  Unreachable: "unreachable",
  /** The run was not sent; the detail is the reason that its guard gave. */
  Withheld: "withheld",
  /** The output is longer than that of the item can be; it may have no end. */
  Overlong: "overlong",
  /** The connection broke, or the response could not be parsed. */
  Broken: "broken",
} as const;

/** One of the values of {@link RunFailure}. */
export type RunFailure = typeof RunFailure[keyof typeof RunFailure];

/** Receives the events of a run. */
export interface RunSink {
  /**
   * Called before the events, if the incarnation of the target is known to
   * answer.
   */
  onVerified(): void;
  /** Called with the weight version that generates the following events. */
  onVersion(version: number): void;
  onEvent(event: RunEvent): void;
  /** Called with what the target says of itself in its response. */
  onSigns(signs: TargetSigns): void;
  /** Called when the output is complete. */
  onEnd(): void;
  onFailure(failure: RunFailure, detail: string): void;
}

/** Handle of a run in progress. */
export interface RunHandle {
  /** Cancels the run; the sink is not called again. */
  cancel(): void;
}

/** Client for model engines. */
export interface EnginePort {
  open(request: RunRequest, sink: RunSink): RunHandle;
  /** Closes idle connections to all addresses except the given ones. */
  closeIdleExcept(addresses: ReadonlySet<string>): void;
}

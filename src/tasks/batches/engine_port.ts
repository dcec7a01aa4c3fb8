/** What the runner of items needs of the engines' client. */
import type { HeaderList } from "../../core/calls/mod.ts";
import type { RunEvent } from "../../core/batches/mod.ts";

/** A run to be opened. */
export interface RunRequest {
  readonly target: { readonly id: string; readonly address: string };
  /** Identifier of the item. */
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly workspace: string;
  /** Number of the last event that is held; 0 for a run from the start. */
  readonly resumeAfter: number;
  /** Version that must generate; undefined for any. */
  readonly expectVersion: number | undefined;
}

/** Why a run ended without its whole output. */
export const RunFailure = {
  /** The target says that it has not run it. */
  Refused: "refused",
  /** Another target answers at the address. */
  Misdirected: "misdirected",
  /** The target runs other weights than asked for. */
  OtherVersion: "otherVersion",
  /** The target ran it and failed. */
  Failed: "failed",
  /** The target says that the item can never be done. */
  Impossible: "impossible",
  /** The connection broke, or what came cannot be read. */
  Broken: "broken",
} as const;

/** One of the values of {@link RunFailure}. */
export type RunFailure = typeof RunFailure[keyof typeof RunFailure];

/** Hears of a run. */
export interface RunSink {
  /** The version that generates from now on. */
  onVersion(version: number): void;
  onEvent(event: RunEvent): void;
  /** The whole output has come. */
  onEnd(): void;
  onFailure(failure: RunFailure, detail: string): void;
}

/** An open run. */
export interface OpenRun {
  /** Ends it; the sink hears nothing more. */
  cancel(): void;
}

/** Runs items at engines. */
export interface EnginePort {
  open(request: RunRequest, sink: RunSink): OpenRun;
  /** Ends idle connections to targets that are gone. */
  keepOnly(addresses: ReadonlySet<string>): void;
}

/** Records of a data centre's ledger. */
import type { SuspicionChange } from "../quarantine/mod.ts";
import type { RefusalReason } from "../verdict/mod.ts";
import type { CompletedSample, StepSpec } from "../samples/mod.ts";

/** Identifies a step. */
export interface StepKey {
  /** Workspace that submitted the step. */
  readonly workspace: string;
  /** Identifier of the step, unique in its workspace. */
  readonly step: string;
}

/**
 * Formats the key of a step as text.
 *
 * @example
 * ```ts
 * formatStepKey({ workspace: "artis", step: "s1" }); // "artis/s1"
 * ```
 */
export function formatStepKey({ workspace, step }: StepKey): string {
  return `${workspace}/${step}`;
}

/** Identifies a non-idempotent call. */
export interface CallKey {
  /** Workspace of the caller. */
  readonly workspace: string;
  /** Idempotency key chosen by the caller. */
  readonly key: string;
}

/** A slot for which no sample can be generated. */
export interface SlotFailure {
  /** Index of the slot in the step, from 0. */
  readonly slot: number;
  /** Identifier of the slot's group. */
  readonly group: string;
  /** Reason why no sample can be generated. */
  readonly reason: RefusalReason;
}

/** Complete response to a call, returned again if the caller retries. */
export interface StoredResponse {
  /** HTTP status. */
  readonly status: number;
  /** Value of the `Content-Type` header. */
  readonly contentType: string;
  /** Body, encoded as base64. */
  readonly bodyBase64: string;
}

/** Usage to be added to the open window. */
export interface UsageEntry {
  /** Workspace to which the usage is charged. */
  readonly workspace: string;
  /** Route that served the requests. */
  readonly route: string;
  /** Number of completed requests. */
  readonly requests: number;
  /** Number of generated tokens. */
  readonly tokens: number;
  /** Number of delivered samples. */
  readonly samples: number;
  /** Number of tokens that were generated and then discarded. */
  readonly wastedTokens: number;
}

/** A record of the ledger. */
export type LedgerRecord =
  | { readonly type: "stepSubmitted"; readonly step: StepSpec }
  | (StepKey & {
    readonly type: "samplesDelivered";
    readonly samples: readonly CompletedSample[];
  })
  | (StepKey & { readonly type: "slotFailed"; readonly failure: SlotFailure })
  | (StepKey & { readonly type: "samplesAcked"; readonly through: number })
  | (StepKey & { readonly type: "stepCancelled" })
  | (CallKey & {
    readonly type: "callStarted";
    /**
     * Hash of the request, to detect that a key is reused for another request.
     */
    readonly fingerprint: string;
    /** Process that runs the call. */
    readonly owner: string;
    /** Start time, in milliseconds since the Unix epoch. */
    readonly at: number;
  })
  | (CallKey & {
    readonly type: "callFinished";
    readonly answer: StoredResponse;
  })
  | (CallKey & {
    readonly type: "callNotRun";
  })
  | (CallKey & {
    readonly type: "callLost";
  })
  | { readonly type: "suspicion"; readonly change: SuspicionChange }
  | { readonly type: "usage"; readonly entries: readonly UsageEntry[] }
  | {
    readonly type: "windowSealed";
    /** Start of the window, in milliseconds since the Unix epoch. */
    readonly window: number;
    /** Start of the next window, in milliseconds since the Unix epoch. */
    readonly next: number;
  }
  | { readonly type: "windowReported"; readonly window: number };

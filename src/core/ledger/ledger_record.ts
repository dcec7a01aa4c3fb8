/** Records of a data centre's ledger. */
import type { SuspicionChange } from "../quarantine/mod.ts";
import type { RefusalReason } from "../verdict/mod.ts";
import type { MadeSample, StepSpec } from "../samples/mod.ts";

/** Names a step. */
export interface StepKey {
  /** Workspace of the step. */
  readonly workspace: string;
  /** Identifier of the step in its workspace. */
  readonly step: string;
}

/** Names a call that may not be repeated. */
export interface CallKey {
  /** Workspace of the caller. */
  readonly workspace: string;
  /** The caller's idempotency key. */
  readonly key: string;
}

/** A slot that no target can fill. */
export interface SlotFailure {
  /** Position in the step, from 0. */
  readonly slot: number;
  /** Group of the slot. */
  readonly group: string;
  /** Why there will be no sample. */
  readonly reason: RefusalReason;
}

/** A whole answer to a call, kept for a caller that sends it again. */
export interface StoredAnswer {
  /** HTTP status. */
  readonly status: number;
  /** Media type of the body. */
  readonly contentType: string;
  /** Body, as text in base 64. */
  readonly bodyBase64: string;
}

/** Use of the system, to be added to the open window. */
export interface UsageEntry {
  /** Workspace that pays. */
  readonly workspace: string;
  /** Route. */
  readonly route: string;
  /** Finished requests. */
  readonly requests: number;
  /** Generated tokens. */
  readonly tokens: number;
  /** Delivered samples. */
  readonly samples: number;
  /** Tokens generated and thrown away. */
  readonly wastedTokens: number;
}

/** A record of the ledger. */
export type LedgerRecord =
  | { readonly type: "stepSubmitted"; readonly step: StepSpec }
  | (StepKey & {
    readonly type: "samplesDelivered";
    readonly samples: readonly MadeSample[];
  })
  | (StepKey & { readonly type: "slotFailed"; readonly failure: SlotFailure })
  | (StepKey & { readonly type: "samplesAcked"; readonly through: number })
  | (StepKey & { readonly type: "stepCancelled" })
  | (CallKey & {
    readonly type: "callStarted";
    /** Hash of the request, to tell another request under the same key. */
    readonly fingerprint: string;
    /** Process that runs it. */
    readonly owner: string;
    /** Time of the start, in milliseconds since the epoch. */
    readonly at: number;
  })
  | (CallKey & {
    readonly type: "callFinished";
    readonly answer: StoredAnswer;
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
    /** Start of the window, in milliseconds since the epoch. */
    readonly window: number;
    /** Start of the next open window. */
    readonly next: number;
  }
  | { readonly type: "windowReported"; readonly window: number };

/** Batches: sets of requests accepted together and executed asynchronously. */

/** A call by which a service scores the complete text of an item. */
export interface ScoringCall {
  /** Identifier of the call, the same at every attempt. */
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** One request of a batch. */
export interface BatchItem {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Body of the request; empty if the item has a `bodyDigest`. */
  readonly body: Uint8Array;
  /**
   * SHA-256 of the body in base64, in place of a body that is no longer needed.
   */
  readonly bodyDigest?: string | undefined;
  /** Prompt tokens plus the maximum number of generated tokens. */
  readonly tokens: number;
  /**
   * Identifier of the item's group. Items of a group share a prompt, and count
   * only when the complete group has results.
   */
  readonly group: string;
  /** Model that runs the item; empty if it names none. */
  readonly model: string;
  /** Expected output length in tokens; undefined if unknown. */
  readonly expectedTokens: number | undefined;
  /** Call that scores the item; undefined if it needs no score. */
  readonly scoring?: ScoringCall | undefined;
}

/** Priorities of a batch; 0 is the most urgent. That of its workspace precedes. */
export interface BatchPriority {
  readonly workspace: number;
  readonly route: number;
}

/** Specification of an accepted batch. */
export interface BatchSpec {
  readonly id: string;
  /** Workspace that owns the batch; `NO_WORKSPACE` for none. */
  readonly workspace: string;
  readonly route: string;
  readonly host: string;
  readonly service: string;
  /** Time of acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Time from acceptance until all results are due, in milliseconds. */
  readonly objectiveMs: number;
  /** Time from acceptance until an item may be abandoned, in milliseconds. */
  readonly giveUpMs: number;
  /** Failed attempts after which an item is abandoned. */
  readonly maxAttempts: number;
  /** Minimum weight version for generation; 0 for any. */
  readonly minVersion: number;
  /** Whether one weight version must generate the complete text of an item. */
  readonly isSingleVersion: boolean;
  /** Regions in which items may run; absent for any, empty for none. */
  readonly homes?: readonly string[];
  /** Number of complete groups that the caller waits for; 0 for all. */
  readonly desiredGroups: number;
  /** Absent in batches that an earlier build accepted; then the most urgent. */
  readonly priority?: BatchPriority | undefined;
  readonly items: readonly BatchItem[];
}

/** Final states of an item. */
export const ResultState = {
  Completed: "completed",
  Abandoned: "abandoned",
} as const;

/** One of the values of {@link ResultState}. */
export type ResultState = typeof ResultState[keyof typeof ResultState];

/** Result of an item; its position in the batch's results never changes. */
export interface BatchResult {
  /** Identifier of the item. */
  readonly id: string;
  readonly state: ResultState;
  readonly text: string;
  /** Weight versions that generated the text, ascending. */
  readonly versions: readonly number[];
  /** Score of the text; absent if the item needs none. */
  readonly score?: string;
}

/** A page of a batch's results. */
export interface ResultPage {
  /** Number of items of the batch. */
  readonly total: number;
  /** Position after the last result of the page. */
  readonly next: number;
  readonly results: readonly BatchResult[];
}

/** Batches of items that are accepted at once and run later. */

/** One request of a batch. */
export interface BatchItem {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Prompt tokens and greatest number of generated tokens together. */
  readonly tokens: number;
  /** Items of a group share their prompt and count only together. */
  readonly group: string;
  /** Model that runs it; empty for none. */
  readonly model: string;
  /** Expected length of the output in tokens; undefined where unknown. */
  readonly expectedTokens: number | undefined;
}

/** A batch as it was accepted. */
export interface BatchSpec {
  readonly id: string;
  readonly workspace: string;
  readonly route: string;
  readonly host: string;
  readonly service: string;
  /** Time of acceptance, in milliseconds since 1970. */
  readonly acceptedAt: number;
  /** Time from acceptance until all results are due. */
  readonly objectiveMs: number;
  /** Time from acceptance until an item may be given up. */
  readonly giveUpMs: number;
  /** Failed attempts after which an item is given up. */
  readonly maxAttempts: number;
  /** Oldest version of the weights that may generate; 0 for any. */
  readonly minVersion: number;
  readonly isSingleVersion: boolean;
  /** Whole groups for which the caller waits. */
  readonly desiredGroups: number;
  readonly items: readonly BatchItem[];
}

/** How an item ended. */
export const ResultState = {
  Completed: "completed",
  Abandoned: "abandoned",
} as const;

/** One of the values of {@link ResultState}. */
export type ResultState = typeof ResultState[keyof typeof ResultState];

/** A listed result; it keeps its position. */
export interface BatchResult {
  /** Identifier of the item. */
  readonly id: string;
  readonly state: ResultState;
  readonly text: string;
  /** Versions of the weights that generated the text, ascending. */
  readonly versions: readonly number[];
}

/** Part of a batch's results. */
export interface ResultPage {
  /** Number of items of the batch. */
  readonly total: number;
  /** Position after the last result of the page. */
  readonly next: number;
  readonly results: readonly BatchResult[];
}

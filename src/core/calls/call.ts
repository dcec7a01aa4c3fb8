/** Requests of callers, and answers to them. */

/** Names and values of headers, in order. */
export type HeaderList = readonly (readonly [string, string])[];

/** A request of a caller, as an entry instance read it. */
export interface CallRequest {
  /** Identifier of this attempt of the caller. */
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Headers for the target, without those that the system sets. */
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  /** Key of a workspace; undefined where none came. */
  readonly key: string | undefined;
  /** Time for which the caller waits, from arrival; undefined for unsaid. */
  readonly patienceMs: number | undefined;
}

/** An answer, read whole. */
export interface CallAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

/** Requests of callers and the responses to them. */

/** Header names and values, in order. */
export type HeaderList = readonly (readonly [string, string])[];

/** A request of a caller, as parsed by an entry instance. */
export interface CallRequest {
  /** Identifier of this request; a caller's retry has another one. */
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path including the query. */
  readonly path: string;
  /** Headers to forward to the target, without those that the system sets. */
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  /** API key of the workspace; undefined if the request has none. */
  readonly key: string | undefined;
  /** Time from arrival that the caller waits; undefined if not specified. */
  readonly timeoutMs: number | undefined;
  /** Received part of the stream that the caller resumes; undefined if none. */
  readonly resumption?: Resumption | undefined;
}

/** What a caller has received of a stream that it resumes. */
export interface Resumption {
  /** Request that brought the first event; undefined if it is not named. */
  readonly first: string | undefined;
  /** Number of the last event; 0 if it is not named. */
  readonly after: number;
}

/** A completely received response. */
export interface CallResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

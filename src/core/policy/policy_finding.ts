/** Findings of the review of a policy document. */

/** Names and indices that lead from a document to one of its values. */
export type PolicyPath = readonly (string | number)[];

/** Severities of findings. */
export const FindingSeverity = {
  /** The document is refused. */
  Error: "error",
  /** The document is accepted, but a part of it contradicts another. */
  Warning: "warning",
  /** A value applies to fewer requests than it may seem to. */
  Note: "note",
} as const;

/** One of the values of {@link FindingSeverity}. */
export type FindingSeverity =
  typeof FindingSeverity[keyof typeof FindingSeverity];

/** A finding of the review of a document. */
export interface PolicyFinding {
  readonly severity: FindingSeverity;
  /** Stable code for comparison by programs. */
  readonly code: string;
  readonly path: PolicyPath;
  /** Text in sentence case, without a final period and without keys. */
  readonly message: string;
}

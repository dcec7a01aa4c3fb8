/** Reasons for refusing requests, with their HTTP statuses. */

/** Reasons for which a request is refused or has failed. */
export const RefusalReason = {
  MalformedRequest: "malformedRequest",
  BodyTooLarge: "bodyTooLarge",
  BodyTruncated: "bodyTruncated",
  NotFound: "notFound",
  MethodNotAllowed: "methodNotAllowed",
  KeyMissing: "keyMissing",
  KeyUnknown: "keyUnknown",
  KeyWithdrawn: "keyWithdrawn",
  WorkspaceNotOnRoute: "workspaceNotOnRoute",
  DataCentreFenced: "dataCentreFenced",
  LimitRequests: "limitRequests",
  LimitTokens: "limitTokens",
  LimitConcurrency: "limitConcurrency",
  QueueFull: "queueFull",
  DeadlineUnreachable: "deadlineUnreachable",
  DeadlinePassed: "deadlinePassed",
  NoTarget: "noTarget",
  /**
   * No target or instance that may run or store the request is in an allowed
   * region.
   */
  HomeUnavailable: "homeUnavailable",
  /** No target can continue the stream that the caller resumes. */
  StreamStranded: "streamStranded",
  /** The writer of the stream that the caller resumes is not known. */
  StreamUnknown: "streamUnknown",
  Quarantined: "quarantined",
  /**
   * A target ended under the request, which waits until it may be tried again.
   */
  Suspected: "suspected",
  TargetFailed: "targetFailed",
  TargetTimeout: "targetTimeout",
  TargetRefused: "targetRefused",
  AnswerTruncated: "answerTruncated",
  AnswerCrossed: "answerCrossed",
  RetryBudgetSpent: "retryBudgetSpent",
  CallerLeft: "callerLeft",
  IdempotencyConflict: "idempotencyConflict",
  StillRunning: "stillRunning",
  LedgerUnavailable: "ledgerUnavailable",
  ControlUnavailable: "controlUnavailable",
  OperatorTokenInvalid: "operatorTokenInvalid",
  ConfigurationInvalid: "configurationInvalid",
  ConfigurationConflict: "configurationConflict",
  ShuttingDown: "shuttingDown",
  Internal: "internal",
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];

/** HTTP status for each reason. */
export const REFUSAL_STATUS: Readonly<Record<RefusalReason, number>> = {
  malformedRequest: 400,
  bodyTooLarge: 413,
  bodyTruncated: 400,
  notFound: 404,
  methodNotAllowed: 405,
  keyMissing: 401,
  keyUnknown: 401,
  keyWithdrawn: 401,
  workspaceNotOnRoute: 403,
  dataCentreFenced: 503,
  limitRequests: 429,
  limitTokens: 429,
  limitConcurrency: 429,
  queueFull: 503,
  deadlineUnreachable: 503,
  deadlinePassed: 504,
  noTarget: 503,
  homeUnavailable: 503,
  streamStranded: 503,
  streamUnknown: 503,
  quarantined: 422,
  suspected: 503,
  targetFailed: 502,
  targetTimeout: 504,
  targetRefused: 502,
  answerTruncated: 502,
  answerCrossed: 502,
  retryBudgetSpent: 503,
  callerLeft: 499,
  idempotencyConflict: 422,
  stillRunning: 409,
  ledgerUnavailable: 503,
  controlUnavailable: 503,
  operatorTokenInvalid: 401,
  configurationInvalid: 422,
  configurationConflict: 409,
  shuttingDown: 503,
  internal: 500,
};

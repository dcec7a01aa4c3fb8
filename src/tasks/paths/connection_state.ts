/** How far the connection of an attempt has come. */
export const ConnectionState = {
  /** No connection is allowed or assigned yet. */
  None: "none",
  /** It is being opened; nothing has been sent. */
  Opening: "opening",
  /** It was opened for this attempt. */
  New: "new",
  /** It was open already and has served an earlier request. */
  Kept: "kept",
} as const;

/** One of the values of {@link ConnectionState}. */
export type ConnectionState =
  typeof ConnectionState[keyof typeof ConnectionState];

/** What of a response is bounded. */
export const ResponseBound = {
  /** What comes without the end of an event. */
  Event: "event",
  /** Events that are not whole, of all streams together. */
  Events: "events",
  /** Lines of a stream that have no meaning. */
  UnreadableLines: "unreadableLines",
  /** Bodies that are read completely, all together. */
  Bodies: "bodies",
  /** Bytes of a connection that belong to no body: heads, framing, trailers. */
  Framing: "framing",
} as const;

/** One of the values of {@link ResponseBound}. */
export type ResponseBound = typeof ResponseBound[keyof typeof ResponseBound];

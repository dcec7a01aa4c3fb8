/** Responses to requests whose bodies have not arrived completely. */
import type { ServerResponse } from "node:http";

/** Time in which the sender reads the response, while it may send on. */
const LINGER_MS = 1_000;
/** Bytes that are dropped meanwhile. */
const MAX_DROPPED_BYTES = 1_048_576;

/**
 * Sends the last bytes of a response, and closes the connection once the sender
 * has had time to read them: closed at once, with bytes that nobody has read, it
 * is reset and the response lost. The head must name their length.
 */
export function endUnread(res: ServerResponse, bytes: Uint8Array): void {
  const { req } = res;
  let droppedBytes = 0;
  const end = () => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(end, LINGER_MS);
  res.once("close", end);
  req.once("end", end);
  req.on("data", (part: Uint8Array) => {
    droppedBytes += part.length;
    if (droppedBytes > MAX_DROPPED_BYTES) req.pause();
  });
  res.write(bytes);
  req.resume();
}

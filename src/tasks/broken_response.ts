/** Responses to callers that end before they are complete. */
import type { ServerResponse } from "node:http";

/**
 * Breaks off a response that has begun, so that it does not look complete. For
 * callers of HTTP/1.0, which know no chunks, it ends with its connection unless
 * that is reset.
 */
export function breakOff(res: ServerResponse): void {
  const endsWithConnection = res.req.httpVersionMajor === 1 &&
    res.req.httpVersionMinor === 0;
  if (endsWithConnection) res.socket?.resetAndDestroy();
  res.destroy();
}

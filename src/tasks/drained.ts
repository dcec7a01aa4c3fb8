/** Backpressure of responses to callers. */
import type { ServerResponse } from "node:http";

/** Waits until a response takes more data, or its connection is closed. */
export function drained(res: ServerResponse): Promise<void> {
  if (res.closed || !res.writableNeedDrain) return Promise.resolve();
  return new Promise((resolve) => {
    const end = () => {
      res.off("drain", end);
      res.off("close", end);
      resolve();
    };
    res.on("drain", end);
    res.on("close", end);
  });
}

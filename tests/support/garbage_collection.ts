/** Garbage collection on request. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");

/** Collects all that nothing refers to. */
export const collectGarbage: () => void = runInNewContext("gc");

/** Gets the memory of what something refers to, in bytes. */
export function usedBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

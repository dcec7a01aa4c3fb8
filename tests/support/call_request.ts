/** Requests of callers for tests. */
import type { CallRequest } from "../../src/core/calls/mod.ts";

/** Creates the call `c1` without a key, a body or a timeout. */
export function createCall(fields: Partial<CallRequest> = {}): CallRequest {
  return {
    id: "c1",
    host: "h",
    method: "POST",
    path: "/p/",
    headers: [],
    body: new Uint8Array(),
    key: undefined,
    timeoutMs: undefined,
    ...fields,
  };
}

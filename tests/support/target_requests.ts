/** Stand-ins for targets on loopback addresses, and requests to them. */
import type { AddressInfo, Server } from "node:net";
import type { RunRequest, RunSink } from "../../src/tasks/batches/mod.ts";
import type { CallAttempt } from "../../src/tasks/calls/mod.ts";
import { createCall } from "./call_request.ts";
import { STAND_IN_INCARNATION } from "./target_state.ts";

const HOST = "127.0.0.1";
const ATTEMPT_TIMEOUT_MS = 5_000;

/** Makes a server listen at a free port, and gets its host and port. */
export async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}

/** Creates an attempt of the call `c1` at the stand-in `t1`. */
export function createAttempt(
  address: string,
  fields: Partial<CallAttempt> = {},
): CallAttempt {
  return {
    call: createCall(),
    target: { id: "t1", address, incarnation: STAND_IN_INCARNATION },
    workspace: undefined,
    timeoutMs: ATTEMPT_TIMEOUT_MS,
    signal: new AbortController().signal,
    maxConnections: 1,
    onSigns: () => {},
    ...fields,
  };
}

/** Creates a run of the item `c1` from its start at the stand-in `t1`. */
export function createRun(
  address: string,
  fields: Partial<RunRequest> = {},
): RunRequest {
  return {
    ...createCall(),
    target: { id: "t1", address, incarnation: STAND_IN_INCARNATION },
    workspace: "w",
    resumeAfter: 0,
    expectVersion: undefined,
    ...fields,
  };
}

/** Creates a sink that ignores what has no handler. */
export function createRunSink(handlers: Partial<RunSink> = {}): RunSink {
  return {
    onVerified: () => {},
    onVersion: () => {},
    onEvent: () => {},
    onSigns: () => {},
    onEnd: () => {},
    onFailure: () => {},
    ...handlers,
  };
}

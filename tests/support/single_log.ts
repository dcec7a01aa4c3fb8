/** Options of a log that has one replica and no peers. */
import { Logger } from "../../src/logging/mod.ts";

/** Instance of the replica. */
export const SINGLE_LOG_ID = "127.0.0.1";

/** Creates what a log driver without peers needs beside its state. */
export function createSingleLogOptions(dataFolder: string) {
  return {
    id: SINGLE_LOG_ID,
    dataFolder,
    name: "log",
    wantedVoters: () => 1,
    times: { heartbeatMs: 20, electionMs: 60, clockRateError: 0.02 },
    logger: new Logger({ instance: "test", level: "error" }),
    now: () => performance.now(),
    send: () => {},
    presentReplicas: () => [],
    onApplied: () => {},
    onRestored: () => {},
    onRole: () => {},
  };
}

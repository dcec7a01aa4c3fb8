/** Timing shared by the replicated logs. */
import type { ConsensusTiming } from "../../core/consensus/mod.ts";

/** Heartbeat and election times of the control log and the ledger. */
export const FLEET_CONSENSUS_TIMING: ConsensusTiming = {
  heartbeatMs: 100,
  electionMs: 500,
  maxElectionDelayMs: 1_000,
  clockRateError: 0.02,
};

/** Timing shared by the replicated logs, and by what waits for them. */
import type { ConsensusTiming } from "../../core/consensus/mod.ts";

/** Heartbeat and election times of the control log and the ledger. */
export const FLEET_CONSENSUS_TIMING: ConsensusTiming = {
  heartbeatMs: 100,
  electionMs: 500,
  maxElectionDelayMs: 1_000,
  clockRateError: 0.02,
};

/**
 * Time after its start from which an instance that knows no leader acts on what
 * it has restored; before, a leader may know of a later order.
 */
export const LEADER_WAIT_MS = 3_000;

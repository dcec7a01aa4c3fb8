/** Times that the parts of a fleet share. */
import type { ConsensusTimes } from "../../core/consensus/mod.ts";

/** Times of the fleet's replicated logs. */
export const FLEET_CONSENSUS_TIMES: ConsensusTimes = {
  heartbeatMs: 150,
  electionMs: 1_000,
  clockRateError: 0.02,
};

/** Times that the parts of a fleet share. */
import type { ConsensusTimes } from "../../core/consensus/mod.ts";

/** Times of the fleet's replicated logs. */
export const FLEET_CONSENSUS_TIMES: ConsensusTimes = {
  heartbeatMs: 100,
  electionMs: 500,
  clockRateError: 0.02,
};

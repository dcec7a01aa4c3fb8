/** Waits for a membership change of the control log after a lost disk. */
import type { TestCluster } from "./cluster.ts";

const VOTER_COUNT = 3;
const FIRST_INCARNATION = "first";

/**
 * Waits until the leader shows an instance's new replica as a voter. The status
 * lists committed members only, so a further replica may be lost from then on.
 */
export async function waitUntilRepaired(
  cluster: TestCluster,
  id: string,
): Promise<void> {
  await cluster.waitUntil(async () => {
    const { log } = await cluster.status(await cluster.leader());
    const voters = log?.members.voters ?? [];
    const isRepaired = log?.role === "leader" &&
      voters.length === VOTER_COUNT &&
      voters.some((voter) => isNewReplica(voter, id));
    return isRepaired ? true : undefined;
  });
}

function isNewReplica(voter: string, id: string): boolean {
  return voter.startsWith(`${id}#`) && voter !== `${id}#${FIRST_INCARNATION}`;
}

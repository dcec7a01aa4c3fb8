/** Waits for a membership change of the control log after a lost disk. */
import type { TestCluster } from "./cluster.ts";

/** A command sent to the leader after it listed the new replica as a voter. */
interface CommitProbe {
  readonly leader: string;
  readonly term: number;
  /** Identifier of the key that the command puts. */
  readonly key: string;
  /** Whether the command was refused, or its response lost. */
  isFailed: boolean;
}

const VOTER_COUNT = 3;
const FIRST_INCARNATION = "first";

let probeCount = 0;

/**
 * Waits until the membership with an instance's new replica as a voter is
 * committed.
 *
 * The status of a leader lists members as soon as they are proposed, before
 * the commit. So this puts a key at the leader after the new voter is listed.
 * Once the leader lists the key and still leads the same term, the key and all
 * earlier entries are committed. Followers may not have applied them yet.
 */
export async function waitUntilRepaired(
  cluster: TestCluster,
  id: string,
): Promise<void> {
  let probe: CommitProbe | undefined;
  await cluster.waitUntil(async () => {
    if (probe?.isFailed) probe = undefined;
    probe ??= await sendProbe(cluster, id);
    if (probe === undefined || !await isKeyListed(cluster, probe)) {
      return undefined;
    }
    const { log } = await cluster.status(probe.leader);
    if (log?.role === "leader" && log.term === probe.term) return true;
    probe = undefined;
    return undefined;
  });
}

/** Puts a key at the leader, provided it lists the new replica as a voter. */
async function sendProbe(
  cluster: TestCluster,
  id: string,
): Promise<CommitProbe | undefined> {
  const leader = await cluster.leader();
  const { log } = await cluster.status(leader);
  const voters = log?.members.voters ?? [];
  const isNewReplicaListed = voters.length === VOTER_COUNT &&
    voters.some((voter) => isNewReplica(voter, id));
  if (log === undefined || log.role !== "leader" || !isNewReplicaListed) {
    return undefined;
  }
  probeCount += 1;
  const probe: CommitProbe = {
    leader,
    term: log.term,
    key: `probe-${probeCount}`,
    isFailed: false,
  };
  const body = { id: probe.key, workspace: "burgers" };
  cluster.sendOperatorRequest(leader, "keys", { method: "POST", body })
    .then((response) => probe.isFailed = response.error !== undefined)
    .catch(() => probe.isFailed = true);
  return probe;
}

function isNewReplica(voter: string, id: string): boolean {
  return voter.startsWith(`${id}#`) && voter !== `${id}#${FIRST_INCARNATION}`;
}

async function isKeyListed(
  cluster: TestCluster,
  probe: CommitProbe,
): Promise<boolean> {
  const { keys } = await cluster.sendOperatorRequest(probe.leader, "keys") as {
    keys: readonly { readonly id: string }[];
  };
  return keys.some(({ id }) => id === probe.key);
}

/** Waits for the repair of the control log after a lost disk. */
import type { TestCluster } from "./cluster.ts";

/** A command that was sent to a leader after it showed the new replica. */
interface Mark {
  readonly leader: string;
  readonly term: number;
  /** Key that the command puts. */
  readonly key: string;
  /** Whether the command was refused or lost. */
  isLost: boolean;
}

const VOTERS = 3;
const FIRST_REPLICA = "first";

let marks = 0;

/**
 * Waits until the vote of an instance's new replica is committed.
 *
 * A leader shows members as soon as it proposes them. So a key is put at that
 * leader after it showed them: once it lists the key and leads the same term
 * still, the key and every entry before it are committed. Nothing is waited
 * for beyond that: not that the others have applied it, too.
 */
export async function untilRepaired(
  on: TestCluster,
  id: string,
): Promise<void> {
  let mark: Mark | undefined;
  await on.until(async () => {
    if (mark?.isLost) mark = undefined;
    mark ??= await putMark(on, id);
    if (mark === undefined || !await isListed(on, mark)) return undefined;
    const { log } = await on.status(mark.leader);
    if (log?.role === "leader" && log.term === mark.term) return true;
    mark = undefined;
    return undefined;
  });
}

/** Puts a key at the leader, once that shows the new replica as a voter. */
async function putMark(
  on: TestCluster,
  id: string,
): Promise<Mark | undefined> {
  const leader = await on.leader();
  const { log } = await on.status(leader);
  const voters = log?.members.voters ?? [];
  const isShown = voters.length === VOTERS &&
    voters.some((voter) => isNewReplica(voter, id));
  if (log === undefined || log.role !== "leader" || !isShown) return undefined;
  marks += 1;
  const mark: Mark = {
    leader,
    term: log.term,
    key: `mark-${marks}`,
    isLost: false,
  };
  const body = { id: mark.key, workspace: "burgers" };
  on.operator(leader, "keys", { method: "POST", body })
    .then((answer) => mark.isLost = answer.error !== undefined)
    .catch(() => mark.isLost = true);
  return mark;
}

function isNewReplica(voter: string, id: string): boolean {
  return voter.startsWith(`${id}#`) && voter !== `${id}#${FIRST_REPLICA}`;
}

async function isListed(on: TestCluster, mark: Mark): Promise<boolean> {
  const { keys } = await on.operator(mark.leader, "keys") as {
    keys: readonly { readonly id: string }[];
  };
  return keys.some(({ id }) => id === mark.key);
}

/** Status of an instance, as shown to operators. */
import type { Settings } from "../settings/mod.ts";
import type { Cluster } from "./cluster.ts";

/** Parts of an instance that its status describes. */
export interface DescribedInstance {
  readonly settings: Pick<Settings, "id" | "peers">;
  /** Incarnation of the process. */
  readonly incarnation: string;
  /** Undefined on an instance without peers. */
  readonly cluster: Cluster | undefined;
}

/** Describes the lease, the log, the ledger and the peers of an instance. */
export function describeInstance(
  { settings, incarnation, cluster }: DescribedInstance,
): Record<string, unknown> {
  if (cluster === undefined) return { incarnation };
  const { control, hub, ledger } = cluster;
  const { node } = control.driver ?? {};
  return {
    incarnation,
    hasLease: control.feed.hasLease,
    hasHomeLease: control.feed.hasHomeLease,
    applied: control.feed.node.applied,
    log: node === undefined ? undefined : {
      role: node.role,
      term: node.term,
      leader: node.leader,
      committed: node.committed,
      members: node.committedMembers,
    },
    view: control.view,
    ledger: {
      committed: ledger.replica.committed,
      last: ledger.replica.last.index,
    },
    instances: settings.peers.map(({ id, dataCentre }) => ({
      id,
      dataCentre,
      isPresent: id === settings.id || hub.isPresent(id),
    })),
  };
}

/** Choice of the instance from which another one receives the feed. */
import type { HomeAuthority } from "../../core/feed/mod.ts";
import { instanceOfProcess } from "../../core/ledger/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { ControlDriver } from "./control_driver.ts";
import { PRESENT_TTL_MS } from "./present_processes.ts";

/** Input of {@link selectUpstream}. */
export interface UpstreamInput {
  /** ID of this instance. */
  readonly id: string;
  readonly dataCentre: string;
  /** Replica of the control log; undefined on instances without one. */
  readonly driver: Pick<ControlDriver, "leaderInstance"> | undefined;
  readonly hub: Pick<PeerHub, "isPresent" | "controlPeers">;
  readonly homeAuthority: Pick<HomeAuthority, "view" | "isPrimary">;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Selects the upstream instance: the leader for control instances, the ledger's
 * primary for other instances of its data centre, and else a control instance,
 * preferably one that is present and in this data centre. If none is present, it
 * rotates among them.
 */
export function selectUpstream(input: UpstreamInput): string | undefined {
  const { driver, hub, id, dataCentre, homeAuthority } = input;
  if (driver !== undefined) {
    const leader = driver.leaderInstance;
    return leader === id ? undefined : leader;
  }
  const primary = homeAuthority.view?.primary;
  if (primary !== undefined && !homeAuthority.isPrimary) {
    const instance = instanceOfProcess(primary);
    if (hub.isPresent(instance) && instance !== id) return instance;
  }
  const controls = [...hub.controlPeers].sort((a, b) =>
    Number(b.dataCentre === dataCentre) - Number(a.dataCentre === dataCentre)
  );
  const presentControl = controls.find((peer) => hub.isPresent(peer.id));
  const rotation = Math.floor(input.now() / PRESENT_TTL_MS);
  return presentControl?.id ??
    controls[rotation % Math.max(1, controls.length)]?.id;
}

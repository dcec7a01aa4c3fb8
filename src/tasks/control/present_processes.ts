/** Ledger processes that are present, as known to one instance of the feed. */
import type { PresentProcess } from "../../core/feed/mod.ts";
import type { PeerHub } from "../peers/mod.ts";

/** Options of {@link PresentProcesses}. */
export interface PresentProcessesOptions {
  readonly hub: Pick<PeerHub, "localPeers" | "getPresence">;
  /** Ledger process of this instance. */
  readonly process: string;
  readonly dataCentre: string;
  readonly isDraining: () => boolean;
}

/** Time without a heartbeat after which a process counts as absent. */
export const PRESENT_TTL_MS = 3_000;

/** Merges the heartbeats of local peers with what downstream instances report. */
export class PresentProcesses {
  readonly #options: PresentProcessesOptions;
  readonly #downstream = new Map<
    string,
    { readonly dataCentre: string; readonly until: number }
  >();

  constructor(options: PresentProcessesOptions) {
    this.#options = options;
  }

  /** Records the processes that a downstream instance reports. */
  merge(present: readonly PresentProcess[], now: number): this {
    const until = now + PRESENT_TTL_MS;
    for (const { process, dataCentre } of present) {
      this.#downstream.set(process, { dataCentre, until });
    }
    return this;
  }

  /** Gets the processes that are present and do not drain. */
  list(now: number): PresentProcess[] {
    const { hub, process, dataCentre, isDraining } = this.#options;
    const list: PresentProcess[] = isDraining()
      ? []
      : [{ process, dataCentre }];
    for (const peer of hub.localPeers) {
      const presence = hub.getPresence(peer.id);
      if (presence === undefined || presence.isDraining) continue;
      list.push({ process: presence.ledger, dataCentre: peer.dataCentre });
    }
    for (const [other, { dataCentre: place, until }] of this.#downstream) {
      if (until <= now) this.#downstream.delete(other);
      else if (!list.some((present) => present.process === other)) {
        list.push({ process: other, dataCentre: place });
      }
    }
    return list;
  }
}

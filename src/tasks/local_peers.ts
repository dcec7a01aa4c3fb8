/** Soft state shared by the instances of a data centre. */
import type { TargetAnnouncement } from "../core/routing/mod.ts";
import type { PeerHub } from "./peers/mod.ts";

/** Options of {@link LocalPeers}. */
export interface LocalPeersOptions {
  /** Undefined on an instance without peers. */
  readonly hub: Pick<PeerHub, "localPeers" | "request"> | undefined;
  /** Gets the last announcement of a target; undefined if there is none. */
  readonly getAnnounced: (id: string) => TargetAnnouncement | undefined;
}

const REQUEST_TIMEOUT_MS = 2_000;
/** Interval at which unchanged announcements are forwarded again. */
const FORWARD_INTERVAL_MS = 5_000;

/** Sends soft state to the other instances of the data centre. */
export class LocalPeers {
  readonly #options: LocalPeersOptions;
  readonly #forwardedAt = new Map<string, number>();

  constructor(options: LocalPeersOptions) {
    this.#options = options;
  }

  /**
   * Sends a message. Failures are ignored, since an instance that misses it
   * receives the state later.
   */
  notify(method: string, params: unknown): void {
    const { hub } = this.#options;
    for (const { id } of hub?.localPeers ?? []) {
      hub?.request(id, method, { params, timeoutMs: REQUEST_TIMEOUT_MS })
        .catch(() => {});
    }
  }

  /**
   * Forwards an announcement of a target: at once if it has changed, or else at
   * the forward interval. Call it before the announcement is recorded.
   */
  forward(announcement: TargetAnnouncement): void {
    const { id } = announcement;
    const forwardedAt = this.#forwardedAt.get(id) ?? 0;
    const isDue = Date.now() - forwardedAt >= FORWARD_INTERVAL_MS;
    if (!isDue && this.#isUnchanged(announcement)) return;
    this.#forwardedAt.set(id, Date.now());
    this.notify("targets.announce", announcement);
  }

  #isUnchanged(announcement: TargetAnnouncement): boolean {
    const previous = this.#options.getAnnounced(announcement.id);
    return previous?.incarnation === announcement.incarnation &&
      previous.weightVersion === announcement.weightVersion &&
      previous.url === announcement.url;
  }
}

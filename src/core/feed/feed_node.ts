/**
 * Receives the control log from an upstream instance and distributes it
 * downstream, together with leases.
 */
import type { ControlSnapshot } from "../control/mod.ts";
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type {
  FeedEntry,
  FeedGrant,
  FeedRenew,
  PresentProcess,
} from "./feed_message.ts";
import { LeaseTable } from "./lease_table.ts";

/** Timing of the leases, in milliseconds of the local clock. */
export interface FeedTiming {
  /** Maximum duration of a lease. */
  readonly leaseMs: number;
  /** Maximum difference in rate between two clocks, as a fraction. */
  readonly clockRateError: number;
}

/** Status of the control leader, which is the root of the feed. */
export interface RootStatus {
  /** Whether it currently holds the leader lease. */
  readonly hasLease: boolean;
  /** Time at which it became leader, by the local clock. */
  readonly since: number;
}

/** Options of {@link FeedNode}. */
export interface FeedNodeOptions {
  /** Name of this instance. */
  readonly self: string;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /** Timing of the leases. */
  readonly times: FeedTiming;
  /**
   * Gets the state to send to a subscriber whose next entries are no longer
   * held.
   */
  readonly getSnapshot: () => ControlSnapshot;
}

/** Result of checking whether an index is in force everywhere. */
export interface InForceStatus {
  /**
   * Whether the index is in force at every instance except those that are
   * fenced because their leases have expired.
   */
  readonly isInForce: boolean;
  /** Instances and data centres that have not confirmed the index. */
  readonly awaited: readonly string[];
}

/** New contents of a grant. */
export interface GrantContents {
  /** State that replaces the recipient's state. */
  readonly snapshot?: {
    readonly index: number;
    readonly state: ControlSnapshot;
  };
  /** Entries to apply, in order. */
  readonly entries: readonly FeedEntry[];
}

/** Number of entries retained for lagging subscribers. */
const MAX_ENTRIES = 2_048;
/** Maximum number of entries in one grant. */
const MAX_GRANT_ENTRIES = 256;
/**
 * Shortest remaining lease that is passed on; less could expire while the grant
 * is in transit.
 */
const MIN_GRANT_MS = 50;

/**
 * Tracks the applied index, leases and subscribers of one instance.
 *
 * @example
 * ```ts
 * send(renew.from, feed.onRenew(renew, now));
 * ```
 */
export class FeedNode {
  readonly #options: FeedNodeOptions;
  readonly #leases = new LeaseTable();
  readonly #homeLeases = new LeaseTable();
  readonly #subscribers = new Map<string, number>();
  #entries: FeedEntry[] = [];
  #applied = 0;
  #leaseEnd = -Infinity;
  #homeLeaseEnd = -Infinity;
  #root: RootStatus | undefined;
  #homeAuthorityEnd = -Infinity;

  /** Creates a node that has not applied any entry. */
  constructor(options: FeedNodeOptions) {
    this.#options = options;
  }

  /** Gets the highest applied index. */
  get applied(): number {
    return this.#applied;
  }

  /**
   * Gets whether the configuration applied here is guaranteed to be current.
   */
  hasLease(now: number): boolean {
    if (this.#root?.hasLease) return true;
    return now < this.#leaseEnd;
  }

  /**
   * Gets whether the settings of workspaces whose home is this data centre are
   * guaranteed to be current.
   */
  hasHomeLease(now: number): boolean {
    return this.hasLease(now) || now < this.#homeLeaseEnd ||
      now < this.#homeAuthorityEnd;
  }

  /**
   * Sets the status as root of the feed; undefined if this instance does not
   * lead.
   */
  setRootStatus(root: RootStatus | undefined): this {
    this.#root = root;
    return this;
  }

  /**
   * Sets the end of the authority over the home data centre, by the local
   * clock.
   */
  setHomeAuthorityEnd(until: number): this {
    this.#homeAuthorityEnd = until;
    return this;
  }

  /**
   * Records entries applied here.
   *
   * @throws InvariantError if an entry does not follow the last one.
   */
  onApplied(entries: readonly FeedEntry[]): this {
    for (const entry of entries) {
      assertInvariant(
        entry.index === this.#applied + 1,
        Invariant.ConfigurationForward,
        `Entry ${entry.index} does not follow entry ${this.#applied}`,
      );
      this.#applied = entry.index;
      this.#entries.push(entry);
    }
    if (this.#entries.length > 2 * MAX_ENTRIES) {
      this.#entries = this.#entries.slice(-MAX_ENTRIES);
    }
    return this;
  }

  /**
   * Records a state loaded here.
   *
   * @throws InvariantError if the state is older than the applied index.
   */
  onRestored(index: number): this {
    assertInvariant(
      index >= this.#applied,
      Invariant.ConfigurationForward,
      `Cannot load state ${index} over applied index ${this.#applied}`,
    );
    this.#applied = index;
    this.#entries = [];
    return this;
  }

  /** Gets the lowest index in force here and at all downstream instances. */
  inForce(now: number): number {
    return Math.min(
      this.#applied,
      this.#leases.lowestInForce(now),
      this.#homeLeases.lowestInForce(now),
    );
  }

  /** Creates the renewal to send to the upstream instance. */
  renew(now: number, present: readonly PresentProcess[] = []): FeedRenew {
    const { self, dataCentre } = this.#options;
    if (this.#isHomeAuthority(now)) {
      const inForce = this.#ownHomeInForce(now);
      this.#leases.confirm([{ dataCentre, inForce }]);
    }
    return {
      type: "renew",
      from: self,
      at: now,
      applied: this.#applied,
      inForce: this.inForce(now),
      homes: this.#leases.homes,
      present,
    };
  }

  /**
   * Gets new entries for the subscribers, sent without waiting for their
   * renewals.
   */
  takePushes(): { readonly to: string; readonly grant: FeedGrant }[] {
    const pushes: { to: string; grant: FeedGrant }[] = [];
    for (const [to, applied] of this.#subscribers) {
      if (applied >= this.#applied) continue;
      this.#subscribers.set(to, this.#applied);
      const grant: FeedGrant = {
        type: "grant",
        from: this.#options.self,
        at: 0,
        leaseMs: 0,
        homeLeaseMs: 0,
        ...this.#contentsAfter(applied),
      };
      pushes.push({ to, grant });
    }
    return pushes;
  }

  /** Removes a subscriber that is unreachable. */
  forget(subscriber: string): this {
    this.#subscribers.delete(subscriber);
    return this;
  }

  /** Handles a renewal from a subscriber and returns the grant for it. */
  onRenew(renew: FeedRenew, now: number): FeedGrant {
    const leaseMs = this.#grantableLeaseMs(now);
    const homeLeaseMs = this.#grantableHomeLeaseMs(now);
    const { inForce, homes } = renew;
    const confirmation = { inForce, homes };
    this.#leases.confirm(homes);
    this.#subscribers.set(renew.from, renew.applied);
    if (leaseMs > 0) {
      const until = now + leaseMs;
      this.#leases.grant(renew.from, confirmation, { until });
    }
    if (homeLeaseMs > 0) {
      const until = now + homeLeaseMs;
      this.#homeLeases.grant(renew.from, confirmation, { until });
    }
    return {
      type: "grant",
      from: this.#options.self,
      at: renew.at,
      leaseMs,
      homeLeaseMs,
      ...this.#contentsAfter(renew.applied),
    };
  }

  /**
   * Extracts the new contents of a grant from the upstream instance.
   *
   * The lease becomes valid only once these have been applied, so the owner
   * applies them and then calls {@link FeedNode.onGrantApplied}.
   */
  onGrant(grant: FeedGrant): GrantContents {
    const { snapshot } = grant;
    const isNewer = snapshot !== undefined && snapshot.index > this.#applied;
    const base = isNewer ? snapshot.index : this.#applied;
    const entries = grant.entries.filter((entry) => entry.index > base);
    const isContiguous = entries.length === 0 || entries[0].index === base + 1;
    return {
      snapshot: isNewer ? snapshot : undefined,
      entries: isContiguous ? entries : [],
    };
  }

  /** Renews the leases from a grant whose contents have been applied. */
  onGrantApplied(grant: FeedGrant): this {
    const { clockRateError } = this.#options.times;
    const clockFactor = 1 + clockRateError;
    const isApplied = grant.entries.every((e) => e.index <= this.#applied) &&
      (grant.snapshot?.index ?? 0) <= this.#applied;
    if (!isApplied || grant.entries.length >= MAX_GRANT_ENTRIES) return this;
    this.#leaseEnd = Math.max(
      this.#leaseEnd,
      grant.at + grant.leaseMs / clockFactor,
    );
    this.#homeLeaseEnd = Math.max(
      this.#homeLeaseEnd,
      grant.at + grant.homeLeaseMs / clockFactor,
    );
    return this;
  }

  /**
   * Checks whether an index is in force everywhere. Only valid at the root.
   *
   * @param index - Index in the control log.
   * @param homes - Data centres that must confirm the index themselves.
   */
  inForceStatus(
    index: number,
    homes: readonly string[],
    now: number,
  ): InForceStatus {
    const { leaseMs, clockRateError } = this.#options.times;
    const awaited = new Set(this.#leases.awaited(index, now));
    for (const id of this.#homeLeases.awaited(index, now)) awaited.add(id);
    const root = this.#root;
    const haveOldLeasesExpired = root !== undefined &&
      now >= root.since + leaseMs * (1 + clockRateError);
    if (!haveOldLeasesExpired) awaited.add("leases of the former leader");
    for (const home of homes) {
      if (this.#homeInForce(home, now) < index) awaited.add(home);
    }
    return {
      isInForce: awaited.size === 0 && this.#applied >= index,
      awaited: [...awaited],
    };
  }

  #homeInForce(home: string, now: number): number {
    const isOwn = home === this.#options.dataCentre &&
      this.#isHomeAuthority(now);
    const own = isOwn ? this.#ownHomeInForce(now) : -Infinity;
    return Math.max(own, this.#leases.homeInForce(home));
  }

  #ownHomeInForce(now: number): number {
    return Math.min(this.#applied, this.#homeLeases.lowestInForce(now));
  }

  #isHomeAuthority(now: number): boolean {
    return now < this.#homeAuthorityEnd;
  }

  #grantableLeaseMs(now: number): number {
    const { leaseMs, clockRateError } = this.#options.times;
    if (this.#root !== undefined) return this.#root.hasLease ? leaseMs : 0;
    const remainingMs = (this.#leaseEnd - now) / (1 + clockRateError);
    return remainingMs < MIN_GRANT_MS ? 0 : Math.min(leaseMs, remainingMs);
  }

  #grantableHomeLeaseMs(now: number): number {
    const { leaseMs, clockRateError } = this.#options.times;
    const remainingMs = (this.#homeAuthorityEnd - now) / (1 + clockRateError);
    return remainingMs < MIN_GRANT_MS ? 0 : Math.min(leaseMs, remainingMs);
  }

  #contentsAfter(applied: number): Pick<FeedGrant, "snapshot" | "entries"> {
    if (applied >= this.#applied) return { entries: [] };
    const first = this.#entries[0]?.index ?? Infinity;
    if (applied + 1 >= first) {
      const start = applied + 1 - first;
      return { entries: this.#entries.slice(start, start + MAX_GRANT_ENTRIES) };
    }
    const state = this.#options.getSnapshot();
    return { snapshot: { index: this.#applied, state }, entries: [] };
  }
}

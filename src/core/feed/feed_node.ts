/** Takes the control log in from above and passes it on below, with leases. */
import type { ControlSnapshot } from "../control/mod.ts";
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type {
  FeedEntry,
  FeedGrant,
  FeedRenew,
  PresentProcess,
} from "./feed_message.ts";
import { LeaseBook } from "./lease_book.ts";

/** Times of the leases, in milliseconds of the local clock. */
export interface FeedTimes {
  /** Longest lease. */
  readonly leaseMs: number;
  /** Greatest difference in rate between two clocks, as a share. */
  readonly clockRateError: number;
}

/** Standing of an instance as the root of the feed: the control leader. */
export interface RootStanding {
  /** Whether its leader lease holds now. */
  readonly hasLease: boolean;
  /** Time at which it became leader. */
  readonly since: number;
}

/** Options of {@link FeedNode}. */
export interface FeedNodeOptions {
  /** This instance. */
  readonly self: string;
  /** Its data centre. */
  readonly dataCentre: string;
  /** Times. */
  readonly times: FeedTimes;
  /** Gets the state to send where entries are missing. */
  readonly getSnapshot: () => ControlSnapshot;
}

/** What is awaited before a position is in force everywhere. */
export interface ForceAnswer {
  /** Whether every instance has it in force, or is fenced. */
  readonly isInForce: boolean;
  /** Instances and data centres that are awaited. */
  readonly awaited: readonly string[];
}

/** What a grant brought that its receiver lacks. */
export interface Received {
  /** State that replaces the receiver's. */
  readonly snapshot?: {
    readonly index: number;
    readonly state: ControlSnapshot;
  };
  /** Entries to apply, in order. */
  readonly entries: readonly FeedEntry[];
}

/** Entries kept for subscribers that lag. */
const MAX_ENTRIES = 2_048;
/** Entries in one grant. */
const MAX_GRANT_ENTRIES = 256;
/** Part of a lease that is left for the way of the grant. */
const MIN_GRANT_MS = 50;

/**
 * Keeps position, leases and subscribers of one instance.
 *
 * @example
 * ```ts
 * const grant = feed.onRenew(renew, now);
 * if (grant !== undefined) send(renew.from, grant);
 * ```
 */
export class FeedNode {
  readonly #options: FeedNodeOptions;
  readonly #below = new LeaseBook();
  readonly #homeBelow = new LeaseBook();
  readonly #subscribers = new Map<string, number>();
  #entries: FeedEntry[] = [];
  #applied = 0;
  #leaseEnd = -Infinity;
  #homeLeaseEnd = -Infinity;
  #root: RootStanding | undefined;
  #homeUntil = -Infinity;

  /** Creates a node that has applied nothing. */
  constructor(options: FeedNodeOptions) {
    this.#options = options;
  }

  /** Gets the greatest applied position. */
  get applied(): number {
    return this.#applied;
  }

  /** Gets whether the configuration in force here is surely current. */
  hasLease(now: number): boolean {
    if (this.#root?.hasLease) return true;
    return now < this.#leaseEnd;
  }

  /** Gets whether settings of workspaces at home here are surely current. */
  hasHomeLease(now: number): boolean {
    return this.hasLease(now) || now < this.#homeLeaseEnd ||
      now < this.#homeUntil;
  }

  /** Sets the standing as root; undefined where another one leads. */
  setRoot(root: RootStanding | undefined): this {
    this.#root = root;
    return this;
  }

  /** Sets the end of the authority over the home data centre. */
  setHome(until: number): this {
    this.#homeUntil = until;
    return this;
  }

  /** Records entries that have been applied here. */
  onApplied(entries: readonly FeedEntry[]): this {
    for (const entry of entries) {
      assertInvariant(
        entry.index === this.#applied + 1,
        Invariant.ConfigurationForward,
        `Entry ${entry.index} after ${this.#applied}`,
      );
      this.#applied = entry.index;
      this.#entries.push(entry);
    }
    if (this.#entries.length > 2 * MAX_ENTRIES) {
      this.#entries = this.#entries.slice(-MAX_ENTRIES);
    }
    return this;
  }

  /** Records a state that has been loaded here. */
  onRestored(index: number): this {
    assertInvariant(
      index >= this.#applied,
      Invariant.ConfigurationForward,
      `State ${index} after ${this.#applied}`,
    );
    this.#applied = index;
    this.#entries = [];
    return this;
  }

  /** Gets the least position in force here and at all below. */
  inForce(now: number): number {
    return Math.min(
      this.#applied,
      this.#below.leastInForce(now),
      this.#homeBelow.leastInForce(now),
    );
  }

  /** Gets the renewal to send to the instance above. */
  renew(now: number, present: readonly PresentProcess[] = []): FeedRenew {
    const { self, dataCentre } = this.#options;
    if (this.#isHomeAuthority(now)) {
      const inForce = this.#ownHomeInForce(now);
      this.#below.confirm([{ dataCentre, inForce }]);
    }
    return {
      type: "renew",
      from: self,
      at: now,
      applied: this.#applied,
      inForce: this.inForce(now),
      homes: this.#below.homes,
      present,
    };
  }

  /** Gets the new entries for each subscriber, outside its renewals. */
  pushes(): { readonly to: string; readonly grant: FeedGrant }[] {
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
        ...this.#missing(applied),
      };
      pushes.push({ to, grant });
    }
    return pushes;
  }

  /** Forgets a subscriber that cannot be reached. */
  forget(subscriber: string): this {
    this.#subscribers.delete(subscriber);
    return this;
  }

  /** Takes in a renewal from below and gets the answer. */
  onRenew(renew: FeedRenew, now: number): FeedGrant {
    const leaseMs = this.#grantable(now);
    const homeLeaseMs = this.#homeGrantable(now);
    const { inForce, homes } = renew;
    const confirmation = { inForce, homes };
    this.#below.confirm(homes);
    this.#subscribers.set(renew.from, renew.applied);
    if (leaseMs > 0) {
      const until = now + leaseMs;
      this.#below.grant(renew.from, confirmation, { until });
    }
    if (homeLeaseMs > 0) {
      const until = now + homeLeaseMs;
      this.#homeBelow.grant(renew.from, confirmation, { until });
    }
    return {
      type: "grant",
      from: this.#options.self,
      at: renew.at,
      leaseMs,
      homeLeaseMs,
      ...this.#missing(renew.applied),
    };
  }

  /**
   * Takes in the answer of the instance above.
   *
   * The lease counts only once what came with it has been applied, so the
   * owner applies the entries and then calls {@link FeedNode.onLease}.
   */
  onGrant(grant: FeedGrant): Received {
    const { snapshot } = grant;
    const isNewer = snapshot !== undefined && snapshot.index > this.#applied;
    const from = isNewer ? snapshot.index : this.#applied;
    const entries = grant.entries.filter((entry) => entry.index > from);
    const isConnected = entries.length === 0 || entries[0].index === from + 1;
    return {
      snapshot: isNewer ? snapshot : undefined,
      entries: isConnected ? entries : [],
    };
  }

  /** Renews the leases by a grant whose entries have been applied. */
  onLease(grant: FeedGrant): this {
    const { clockRateError } = this.#options.times;
    const rate = 1 + clockRateError;
    const isWhole = grant.entries.every((e) => e.index <= this.#applied) &&
      (grant.snapshot?.index ?? 0) <= this.#applied;
    if (!isWhole || grant.entries.length >= MAX_GRANT_ENTRIES) return this;
    this.#leaseEnd = Math.max(this.#leaseEnd, grant.at + grant.leaseMs / rate);
    this.#homeLeaseEnd = Math.max(
      this.#homeLeaseEnd,
      grant.at + grant.homeLeaseMs / rate,
    );
    return this;
  }

  /**
   * Gets whether a position is in force everywhere; asked of the root.
   * @param index - Position.
   * @param homes - Data centres that must confirm it themselves.
   */
  force(
    index: number,
    homes: readonly string[],
    now: number,
  ): ForceAnswer {
    const { leaseMs, clockRateError } = this.#options.times;
    const awaited = new Set(this.#below.awaited(index, now));
    for (const id of this.#homeBelow.awaited(index, now)) awaited.add(id);
    const root = this.#root;
    const knowsAll = root !== undefined &&
      now >= root.since + leaseMs * (1 + clockRateError);
    if (!knowsAll) awaited.add("leases of the former leader");
    for (const home of homes) {
      if (this.#homeConfirmed(home, now) < index) awaited.add(home);
    }
    return {
      isInForce: awaited.size === 0 && this.#applied >= index,
      awaited: [...awaited],
    };
  }

  #homeConfirmed(home: string, now: number): number {
    const isOwn = home === this.#options.dataCentre &&
      this.#isHomeAuthority(now);
    const own = isOwn ? this.#ownHomeInForce(now) : -Infinity;
    return Math.max(own, this.#below.homeInForce(home));
  }

  #ownHomeInForce(now: number): number {
    return Math.min(this.#applied, this.#homeBelow.leastInForce(now));
  }

  #isHomeAuthority(now: number): boolean {
    return now < this.#homeUntil;
  }

  #grantable(now: number): number {
    const { leaseMs, clockRateError } = this.#options.times;
    if (this.#root !== undefined) return this.#root.hasLease ? leaseMs : 0;
    const left = (this.#leaseEnd - now) / (1 + clockRateError);
    return left < MIN_GRANT_MS ? 0 : Math.min(leaseMs, left);
  }

  #homeGrantable(now: number): number {
    const { leaseMs, clockRateError } = this.#options.times;
    const left = (this.#homeUntil - now) / (1 + clockRateError);
    return left < MIN_GRANT_MS ? 0 : Math.min(leaseMs, left);
  }

  #missing(applied: number): Pick<FeedGrant, "snapshot" | "entries"> {
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

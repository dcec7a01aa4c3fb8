/** Leaders that send orders to a recipient that checks no fencing tokens. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import { OrderLease } from "./order_lease.ts";
import type { OrderGrant } from "./order_port.ts";

const INSTANCES = 3;
const SCHEDULE_MS = 60_000;
const STEP_MS = 50;
const LEADER_LEASE_MS = 1_000;
const ORDER_LEASE_MS = 3_000;
const MAX_PAUSE_MS = 4_000;

interface ReceivedOrder {
  readonly holder: string;
  readonly fence: number;
  readonly at: number;
}

interface Replica {
  readonly name: string;
  lease: OrderLease;
  pausedUntil: number;
  /** Grant that was checked before the pause and is used after it. */
  pending: OrderGrant | undefined;
}

/** Plays random pauses, restarts and changes of the leader. */
class Schedule {
  readonly received: ReceivedOrder[] = [];
  readonly #random;
  readonly #returnDelayMs: number;
  readonly #replicas: Replica[];
  #now = 0;
  #term = 1;
  #leader: Replica;
  #leaderSince = -SCHEDULE_MS;
  #leaderLeaseEnd = 0;

  constructor(seed: number, options: { returnDelayMs: number }) {
    this.#random = xoroshiro128plus(seed);
    this.#returnDelayMs = options.returnDelayMs;
    this.#replicas = Array.from({ length: INSTANCES }, (_, i) => {
      const replica = {
        name: `c${i}`,
        pausedUntil: 0,
        pending: undefined,
      } as unknown as Replica;
      replica.lease = this.#createLease(replica, false);
      return replica;
    });
    this.#leader = this.#replicas[0];
  }

  play(): this {
    for (; this.#now < SCHEDULE_MS; this.#now += STEP_MS) {
      if (this.#isChance(20)) this.#pause();
      if (this.#isChance(60)) this.#restart();
      this.#electOrRenew();
      for (const replica of this.#replicas) this.#sendOrder(replica);
    }
    return this;
  }

  #createLease(replica: Replica, hasPredecessor: boolean): OrderLease {
    return new OrderLease({
      holder: replica.name,
      term: () => this.#leader === replica ? this.#term : undefined,
      leaseEnd: () => this.#leaderLeaseEnd,
      now: () => this.#now,
      leaderSince: () =>
        this.#leader === replica ? this.#leaderSince : Infinity,
      returnDelayMs: this.#returnDelayMs,
      hasPredecessor,
    });
  }

  #isChance(oneIn: number): boolean {
    return uniformInt(this.#random, 1, oneIn) === 1;
  }

  #pickReplica(): Replica {
    const i = uniformInt(this.#random, 0, INSTANCES - 1);
    return this.#replicas[i];
  }

  /** Pauses a replica, often between the check of a grant and its use. */
  #pause(): void {
    const replica = this.#pickReplica();
    replica.pending = replica.lease.get();
    const pauseMs = uniformInt(this.#random, 0, MAX_PAUSE_MS);
    replica.pausedUntil = this.#now + pauseMs;
  }

  #restart(): void {
    const replica = this.#pickReplica();
    replica.pending = undefined;
    replica.lease = this.#createLease(replica, true);
    if (replica === this.#leader) this.#leaderLeaseEnd = this.#now;
  }

  /** Elects another leader once the lease of a silent one has expired. */
  #electOrRenew(): void {
    const isSilent = this.#leader.pausedUntil > this.#now;
    if (!isSilent && this.#now < this.#leaderLeaseEnd) {
      this.#leaderLeaseEnd = this.#now + LEADER_LEASE_MS;
      return;
    }
    if (this.#now < this.#leaderLeaseEnd) return;
    const running = this.#replicas
      .filter((replica) => replica.pausedUntil <= this.#now);
    if (running.length === 0) return;
    const i = uniformInt(this.#random, 0, running.length - 1);
    this.#leader = running[i];
    this.#term += 1;
    this.#leaderSince = this.#now;
    this.#leaderLeaseEnd = this.#now + LEADER_LEASE_MS;
  }

  #sendOrder(replica: Replica): void {
    if (replica.pausedUntil > this.#now) return;
    const grant = replica.pending ?? replica.lease.get();
    replica.pending = undefined;
    if (grant === undefined || !grant.isValid()) return;
    const { holder, fence } = grant.token;
    this.received.push({ holder, fence, at: this.#now });
  }
}

/** Counts orders with a lower token, and holders that took turns too soon. */
function countViolations(received: readonly ReceivedOrder[]): number {
  let violations = 0;
  const lastAt = new Map<string, number>();
  received.forEach(({ holder, fence, at }, i) => {
    const previous = received[i - 1];
    if (previous !== undefined && fence < previous.fence) violations += 1;
    const hasReturned = previous !== undefined && previous.holder !== holder;
    const before = lastAt.get(holder) ?? -Infinity;
    if (hasReturned && at - before < ORDER_LEASE_MS) violations += 1;
    lastAt.set(holder, at);
  });
  return violations;
}

describe(OrderLease.name, () => {
  function doTest(options: { returnDelayMs: number }) {
    let orders = 0;
    let violations = 0;
    for (let seed = 1; seed <= 200; seed += 1) {
      const { received } = new Schedule(seed, options).play();
      orders += received.length;
      violations += countViolations(received);
    }
    return { hasOrders: orders > 10_000, hasViolations: violations > 0 };
  }

  it("lets no holder return too soon, nor a token fall", () =>
    expect(doTest({ returnDelayMs: ORDER_LEASE_MS }))
      .toEqual({ hasOrders: true, hasViolations: false }));

  it("would let one return too soon without the delay", () =>
    expect(doTest({ returnDelayMs: 0 }))
      .toEqual({ hasOrders: true, hasViolations: true }));
});

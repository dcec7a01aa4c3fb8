import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import {
  type ChangeSequence,
  type FleetNotice,
  FleetRole,
  FleetState,
} from "../../core/fleet/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import { FleetPublisher } from "./fleet_publisher.ts";

const HEARTBEAT_MS = 1_000;
const STEP_MS = 100;

type TargetsNotice = Extract<FleetNotice, { type: "targets" }>;

/** A linked ledger instance that confirms changes by its heartbeat. */
class Follower {
  readonly whole: number[] = [];
  confirmed: ChangeSequence | undefined;
  #applied: ChangeSequence | undefined;
  #losesNext = false;

  loseNext(): this {
    this.#losesNext = true;
    return this;
  }

  receive(notice: FleetNotice, now: number): void {
    if (notice.type !== "targets") return;
    if (notice.isWhole) this.whole.push(now);
    if (this.#losesNext && !notice.isWhole) this.#losesNext = false;
    else this.#apply(notice);
  }

  beat(): void {
    this.confirmed = this.#applied;
  }

  #apply({ mark, isWhole }: TargetsNotice): void {
    const isNext = this.#applied?.change === (mark?.change ?? 0) - 1;
    if (isWhole || isNext) this.#applied = mark;
  }
}

describe("FleetPublisher", () => {
  /** Publishes a change every 100 ms, and gets when all targets were sent. */
  function doTest(totalMs: number, loseAt?: number): number[] {
    let now = 0;
    const follower = new Follower();
    const node = {
      settings: { id: "c1", name: "c1", dataCentre: "a" },
      leaderOf: () => undefined,
      senders: [],
      linkedMembers: (role: FleetRole) =>
        role !== FleetRole.Ledger ? [] : [{
          id: "l1",
          member: {
            name: "l1",
            role,
            dataCentre: "a",
            policyRevision: 0,
            targetsSeen: follower.confirmed ? { c1: follower.confirmed } : {},
          },
        }],
      notify: (_to: Iterable<string>, notice: FleetNotice) =>
        follower.receive(notice, now),
      notifyRole: (role: FleetRole, notice: FleetNotice) => {
        if (role === FleetRole.Ledger) follower.receive(notice, now);
      },
    } as unknown as FleetNode;
    const publisher = new FleetPublisher({
      node,
      registry: new TargetRegistry(),
      state: () => new FleetState(),
      leadsTerm: () => undefined,
      now: () => now,
    });
    for (; now < totalMs; now += STEP_MS) {
      if (now === loseAt) follower.loseNext();
      publisher.publishTarget(createReport({ sequence: now }), undefined);
      publisher.resendMissing();
      if (now % HEARTBEAT_MS === 0) follower.beat();
    }
    return follower.whole;
  }

  it("sends all targets once to a follower that misses no change", () => {
    const sentAt = doTest(20_000);
    expect(sentAt.filter((at) => at > HEARTBEAT_MS)).toEqual([]);
  });

  it("sends all targets again to a follower that missed a change", () => {
    const sentAt = doTest(20_000, 5_000).filter((at) => at > HEARTBEAT_MS);
    expect(sentAt).toHaveLength(1);
    expect(sentAt[0]).toBeGreaterThan(5_000);
    expect(sentAt[0]).toBeLessThanOrEqual(8_000);
  });
});

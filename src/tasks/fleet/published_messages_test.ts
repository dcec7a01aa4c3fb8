import { describe, expect, it } from "vitest";
import { createPolicy } from "../../../tests/support/policy_document.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import {
  Departures,
  type FleetMember,
  type FleetNotice,
  FleetRole,
  type FleetState,
} from "../../core/fleet/mod.ts";
import type { PolicyDocument } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import { FleetPublisher } from "./fleet_publisher.ts";
import { TargetDirectory } from "./target_directory.ts";

const CONTROLS = ["c1", "c2", "c3"];
const STEP_MS = 100;
const MAINTENANCE_MS = 200;

/** Control instances before the same followers, in virtual time. */
class Controls {
  readonly received: { from: string; to: string; notice: FleetNotice }[] = [];
  /** Revisions that the followers apply. */
  readonly followers = new Map<string, number>();
  /** Revisions that their heartbeats have told. */
  readonly #told = new Map<string, number>();
  /** Followers that get no message of a control instance. */
  readonly deaf = new Set<string>();
  readonly publishers = new Map<string, FleetPublisher>();
  readonly directories = new Map<string, TargetDirectory>();
  policy: PolicyDocument | undefined;
  now = 0;

  constructor(followers: number) {
    for (let i = 0; i < followers; i += 1) this.followers.set(`10.0.0.${i}`, 0);
    for (const id of CONTROLS) this.#create(id);
  }

  #create(id: string): void {
    const node = this.#createNode(id) as unknown as FleetNode;
    const registry = new TargetRegistry();
    const now = () => this.now;
    const publisher = new FleetPublisher({
      node,
      registry,
      state: () =>
        ({
          policy: this.policy,
          retiring: new Map(),
          evacuations: { save: () => ({ version: 0, dataCentres: [] }) },
          departures: new Departures(),
        }) as unknown as FleetState,
      leadsTerm: () => undefined,
      now,
    });
    this.publishers.set(id, publisher);
    const onChanged = () => {};
    this.directories.set(
      id,
      new TargetDirectory({ node, registry, publisher, now, onChanged }),
    );
  }

  #createNode(id: string) {
    const notify = (to: Iterable<string>, notice: FleetNotice) => {
      for (const follower of to) this.#deliver(id, follower, notice);
    };
    const linkedMembers = (role: FleetRole) => this.#linkedMembers(id, role);
    return {
      settings: { id, name: id, dataCentre: "a" },
      logger: new Logger({ instance: id, level: "error" }),
      leaderOf: () => "c1",
      get senders() {
        return [];
      },
      linkedMembers,
      notify,
      notifyRole: (role: FleetRole, notice: FleetNotice) =>
        notify(linkedMembers(role).map((member) => member.id), notice),
    };
  }

  #linkedMembers(self: string, role: FleetRole) {
    const member = (fields: Partial<FleetMember>) => ({
      name: "n",
      dataCentre: "a",
      role,
      replica: undefined,
      leadsTerm: undefined,
      policyRevision: 0,
      targetsSeen: {},
      ...fields,
    });
    if (role === FleetRole.Control) {
      return CONTROLS.filter((id) => id !== self)
        .map((id) => ({ id, member: member({}) }));
    }
    if (role !== FleetRole.Entry) return [];
    const seen = { life: "x", change: 0 };
    const targetsSeen = { c1: seen, c2: seen, c3: seen };
    return [...this.followers.keys()].map((id) => ({
      id,
      member: member({
        policyRevision: this.#told.get(id) ?? 0,
        targetsSeen,
        evacuationVersion: 0,
      }),
    }));
  }

  #deliver(from: string, to: string, notice: FleetNotice): void {
    if (this.deaf.has(`${from} ${to}`)) return;
    this.received.push({ from, to, notice });
    if (notice.type !== "policy" || !this.followers.has(to)) return;
    this.followers.set(to, notice.document.revision);
  }

  setPolicy(revision: number): this {
    this.policy = { ...createPolicy(), revision };
    for (const publisher of this.publishers.values()) {
      publisher.schedulePolicy();
    }
    return this;
  }

  async advance(ms: number): Promise<this> {
    for (const end = this.now + ms; this.now < end; this.now += STEP_MS) {
      await new Promise((resolve) => setImmediate(resolve));
      for (const [id, revision] of this.followers) this.#told.set(id, revision);
      if (this.now % MAINTENANCE_MS !== 0) continue;
      for (const publisher of this.publishers.values()) {
        publisher.resendMissing();
      }
    }
    return this;
  }

  noticesOf(type: FleetNotice["type"]) {
    return this.received.filter(({ notice }) => notice.type === type);
  }
}

describe("a policy that three control instances publish", () => {
  it("reaches each of 30 instances at once, and once", async () => {
    const controls = new Controls(30).setPolicy(1);
    await controls.advance(STEP_MS);
    expect([...controls.followers.values()].every((r) => r === 1)).toBe(true);
    await controls.advance(3_000);
    expect(controls.noticesOf("policy")).toHaveLength(30);
  });

  it("reaches instances that do not hear the first of them within 0.6 s", async () => {
    const controls = new Controls(30);
    for (const id of controls.followers.keys()) {
      controls.deaf.add(`c1 ${id}`).add(`c2 ${id}`);
    }
    await controls.setPolicy(1).advance(600 + STEP_MS);
    expect([...controls.followers.values()].every((r) => r === 1)).toBe(true);
  });

  it("reaches them also while it changes all the time", async () => {
    const controls = new Controls(30);
    for (const id of controls.followers.keys()) {
      controls.deaf.add(`c1 ${id}`).add(`c2 ${id}`);
    }
    for (let revision = 1; revision <= 20; revision += 1) {
      await controls.setPolicy(revision).advance(STEP_MS);
    }
    const oldest = Math.min(...controls.followers.values());
    expect(oldest).toBeGreaterThanOrEqual(20 - 1_000 / STEP_MS);
  });
});

describe("reports of targets at a control instance", () => {
  // Guards against targets that seem to lose the version that they just loaded.
  it("take no version back that was loaded before they are forwarded", async () => {
    const controls = new Controls(0);
    const directory = controls.directories.get("c1")!;
    const merge = (sequence: number) =>
      directory.merge(createReport({ sequence, versions: { m: 4 } }));
    merge(1);
    merge(2);
    const { id, incarnation } = createReport();
    const loaded = { target: id, incarnation, model: "m", version: 5 };
    for (const other of controls.directories.values()) {
      other.onNotice({ type: "loaded", ...loaded });
    }
    controls.received.length = 0;
    await controls.advance(1_000);
    const sent = controls.noticesOf("targets").filter(({ to }) => to === "c2");
    expect(sent).toHaveLength(1);
    const { notice } = sent[0];
    const reports = notice.type === "targets" ? notice.reports : [];
    expect(reports.map(({ versions }) => versions)).toEqual([{ m: 5 }]);
  });

  it("go to the others at once if they change what is known, else together", async () => {
    const controls = new Controls(0);
    const directory = controls.directories.get("c1")!;
    const merge = (sequence: number) => {
      for (let i = 0; i < 10; i += 1) {
        const id = `t-${i}`;
        directory.merge(createReport({ id, address: id, sequence }));
      }
    };
    merge(1);
    expect(controls.noticesOf("targets")).toHaveLength(20);
    controls.received.length = 0;
    for (let sequence = 2; sequence < 22; sequence += 1) {
      merge(sequence);
      await controls.advance(STEP_MS);
    }
    await controls.advance(1_000);
    const sent = controls.noticesOf("targets").filter(({ to }) => to === "c2");
    expect(sent.length).toBeLessThanOrEqual(2_000 / 500 + 1);
    const last = sent.at(-1)!.notice;
    const reports = last.type === "targets" ? last.reports : [];
    expect(reports.map(({ sequence }) => sequence)).toEqual(
      Array(10).fill(21),
    );
  });
});

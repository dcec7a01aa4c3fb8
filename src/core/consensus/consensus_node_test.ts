import { describe, expect, it } from "vitest";
import type { ConsensusEffect } from "./consensus_effect.ts";
import type { ConsensusMessage } from "./consensus_message.ts";
import { ConsensusNode } from "./consensus_node.ts";
import {
  ALL_GUARDS,
  type ConsensusGuards,
  type ConsensusTiming,
  type StoredLog,
} from "./consensus_options.ts";
import { Role } from "./role.ts";
import { nextMembers } from "./membership_repair.ts";

type Message = ConsensusMessage<string, string>;
type Node = ConsensusNode<string, string>;

/** Limits the rounds of message exchange, in case messages never cease. */
const MAX_ROUNDS = 200;
const TIMES = { heartbeatMs: 100, electionMs: 1_000, clockRateError: 0.02 };

function stored(voters: string[]): StoredLog<string, string> {
  return {
    hardState: { term: 0, votedFor: undefined },
    snapshot: {
      index: 0,
      term: 0,
      members: { voters, learners: [] },
      state: "",
    },
    entries: [],
  };
}

/** Runs the nodes of a cluster synchronously; messages arrive without delay. */
class Cluster {
  readonly nodes = new Map<string, Node>();
  readonly disks = new Map<string, StoredLog<string, string>>();
  readonly applied = new Map<string, string[]>();
  readonly isolated = new Set<string>();
  /** Selects the messages to drop. */
  drops: (message: Message) => boolean = () => false;
  /** Rewrites messages in transit, e.g. to simulate a smaller batch. */
  rewrite: (message: Message) => Message = (message) => message;
  now = 0;
  readonly #guards: ConsensusGuards;

  readonly #times: ConsensusTiming;

  constructor(
    ids: string[],
    guards: Partial<ConsensusGuards> = {},
    times: Partial<ConsensusTiming> = {},
  ) {
    this.#times = { ...TIMES, ...times };
    this.#guards = { ...ALL_GUARDS, ...guards };
    for (const id of ids) {
      this.disks.set(id, stored(ids));
      this.start(id);
    }
  }

  start(id: string): Node {
    const disk = this.disks.get(id) ?? stored([]);
    this.applied.set(id, []);
    const node: Node = new ConsensusNode({
      self: id,
      stored: structuredClone(disk),
      times: this.#times,
      random: () => 0,
      now: this.now,
      guards: this.#guards,
      sizeOf: (command) => command.length,
    });
    this.nodes.set(id, node);
    return node;
  }

  nodeOf(id: string): Node {
    const node = this.nodes.get(id);
    if (node === undefined) throw new Error(`No node ${id}`);
    return node;
  }

  elect(id: string): Node {
    this.now += 1_100;
    this.nodeOf(id).tick(this.now);
    this.settle();
    return this.nodeOf(id);
  }

  propose(id: string, command: string): void {
    this.nodeOf(id).propose(command, this.now);
    this.settle();
  }

  settle(): void {
    let isBusy = true;
    for (let i = 0; isBusy && i < MAX_ROUNDS; i += 1) {
      isBusy = false;
      for (const [id, node] of this.nodes) {
        for (const effect of node.takeEffects()) {
          isBusy = true;
          this.#carryOut(id, effect);
        }
      }
    }
  }

  #carryOut(id: string, effect: ConsensusEffect<string, string>): void {
    if (effect.type === "send") this.#send(effect.message);
    if (effect.type === "write") this.#write(id, effect);
    if (effect.type !== "apply") return;
    for (const { content } of effect.entries) {
      if (content.type === "command") {
        this.applied.get(id)?.push(content.command);
      }
    }
  }

  #send(message: Message): void {
    const { from, to } = message;
    if (
      this.isolated.has(from) || this.isolated.has(to) || this.drops(message)
    ) return;
    this.nodes.get(to)?.receive(this.rewrite(message), this.now);
  }

  #write(
    id: string,
    effect: Extract<ConsensusEffect<string, string>, { type: "write" }>,
  ): void {
    const disk = this.disks.get(id) ?? stored([]);
    const from = effect.truncateFrom ?? Infinity;
    this.disks.set(id, {
      hardState: effect.hardState ?? disk.hardState,
      snapshot: effect.snapshot ?? disk.snapshot,
      entries: [
        ...disk.entries.filter((e) => e.index < from),
        ...effect.entries ?? [],
      ],
    });
    this.nodes.get(id)?.onWritten(effect, this.now);
  }
}

describe(ConsensusNode.name, () => {
  const create = (guards?: Partial<ConsensusGuards>) =>
    new Cluster(["a", "b", "c"], guards);

  it("elects one leader and commits on all replicas", () => {
    const cluster = create();
    cluster.elect("a");
    cluster.propose("a", "x");
    cluster.now += 100;
    cluster.nodeOf("a").tick(cluster.now);
    cluster.settle();
    for (const id of ["a", "b", "c"]) {
      expect(cluster.applied.get(id)).toEqual(["x"]);
    }
  });

  it("commits nothing without a quorum and steps down", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    cluster.isolated.add("b").add("c");
    cluster.propose("a", "x");
    expect(cluster.applied.get("a")).toEqual([]);
    for (let i = 0; i < 10; i += 1) {
      cluster.now += TIMES.heartbeatMs;
      leader.tick(cluster.now);
    }
    cluster.now += 1;
    expect(leader.hasLease(cluster.now)).toBe(false);
    leader.tick(cluster.now);
    expect(leader.role).toBe("follower");
  });

  it("keeps its lead over a stall of its process while a quorum answers", () => {
    const cluster = new Cluster(["a", "b", "c"]);
    const leader = cluster.elect("a");
    cluster.now += 1_500;
    leader.tick(cluster.now);
    expect(leader.role).toBe(Role.Leader);
    expect(leader.hasLease(cluster.now)).toBe(false);
    cluster.settle();
    expect(leader.hasLease(cluster.now)).toBe(true);
    cluster.now += 900;
    leader.tick(cluster.now);
    expect(leader.role).toBe(Role.Leader);
  });

  it("steps down after a stall if no quorum answers", () => {
    const cluster = new Cluster(["a", "b", "c"]);
    const leader = cluster.elect("a");
    cluster.isolated.add("a");
    cluster.now += 1_500;
    leader.tick(cluster.now);
    for (let i = 0; i < 11; i += 1) {
      cluster.now += TIMES.heartbeatMs;
      leader.tick(cluster.now);
      cluster.settle();
    }
    expect(leader.role).toBe(Role.Follower);
  });

  it("steps down without a quorum even if each tick comes late", () => {
    const cluster = new Cluster(["a", "b", "c"]);
    const leader = cluster.elect("a");
    cluster.isolated.add("a");
    for (let i = 0; i < 6; i += 1) {
      cluster.now += 700;
      leader.tick(cluster.now);
      cluster.settle();
    }
    expect(leader.role).toBe(Role.Follower);
  });

  it("is given more time by its followers while its process starts", () => {
    const times = { maxElectionDelayMs: 1_000 };
    const cluster = new Cluster(["a", "b", "c"], {}, times);
    const leader = cluster.elect("a");
    const follower = cluster.nodeOf("b");
    cluster.now += 1_400;
    follower.tick(cluster.now);
    cluster.settle();
    expect(leader.role).toBe(Role.Leader);
    expect(follower.role).toBe(Role.Follower);
    cluster.isolated.add("a");
    cluster.now += 200;
    follower.tick(cluster.now);
    cluster.settle();
    expect(follower.role).toBe(Role.Leader);
  });

  it("keeps the term when an isolated node rejoins", () => {
    const cluster = create();
    cluster.elect("a");
    cluster.isolated.add("c");
    for (let i = 0; i < 5; i += 1) {
      cluster.elect("c");
      cluster.nodeOf("a").tick(cluster.now - 500);
      cluster.settle();
      cluster.nodeOf("a").tick(cluster.now);
      cluster.settle();
    }
    expect(cluster.nodeOf("c").term).toBe(1);
    cluster.isolated.delete("c");
    cluster.now += 100;
    cluster.nodeOf("a").tick(cluster.now);
    cluster.settle();
    expect(cluster.nodeOf("a").role).toBe("leader");
  });

  it("grants no vote while it is in contact with a leader", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    leader.tick(cluster.now + 100);
    cluster.settle();
    cluster.nodeOf("c").receive({
      type: "voteRequest",
      from: "b",
      to: "c",
      term: 9,
      lastIndex: 99,
      lastTerm: 9,
      isTransfer: false,
    }, cluster.now + 500);
    expect(cluster.nodeOf("c").term).toBe(1);
  });

  it("grants one vote per term, also across a restart", () => {
    const runElections = (guards?: Partial<ConsensusGuards>) => {
      const cluster = create(guards);
      const createRequest = (from: string): Message => ({
        type: "voteRequest",
        from,
        to: "c",
        term: 5,
        lastIndex: 0,
        lastTerm: 0,
        isTransfer: false,
      });
      const votes: boolean[] = [];
      cluster.drops = (m) => {
        if (m.type === "voteReply") votes.push(m.isGranted);
        return true;
      };
      cluster.now = 2_000;
      cluster.nodeOf("c").receive(createRequest("a"), cluster.now);
      cluster.settle();
      cluster.start("c");
      cluster.now += 2_000;
      cluster.nodeOf("c").receive(createRequest("b"), cluster.now);
      cluster.settle();
      return votes;
    };
    expect(runElections()).toEqual([true, false]);
    expect(runElections({ voteStored: false })).toEqual([true, true]);
  });

  it("commits entries of earlier terms only with one of its own term", () => {
    const run = (guards?: Partial<ConsensusGuards>) => {
      const cluster = new Cluster(["a", "b", "c", "d", "e"], guards);
      const hasEntries = (m: Message) =>
        m.type === "appendRequest" && m.entries.length > 0;
      cluster.elect("a");
      cluster.drops = (m) => hasEntries(m) && m.to !== "b";
      cluster.propose("a", "old");
      cluster.isolated.add("a").add("b");
      cluster.drops = hasEntries;
      cluster.elect("e");
      cluster.isolated.clear();
      cluster.isolated.add("e");
      cluster.drops = (m) => hasEntries(m) && m.to === "d";
      cluster.rewrite = (m) =>
        m.type === "appendRequest"
          ? { ...m, entries: m.entries.filter((e) => e.term < 3) }
          : m;
      for (let i = 0; i < 3; i += 1) cluster.elect("a");
      return cluster;
    };
    expect(run().applied.get("a")).not.toContain("old");
    expect(run({ commitOwnTermOnly: false }).applied.get("a")).toContain("old");
  });

  it("replaces an uncommitted tail that the new leader does not have", () => {
    const cluster = create();
    cluster.elect("a");
    cluster.isolated.add("b").add("c");
    for (let i = 0; i < 4; i += 1) cluster.propose("a", `lost ${i}`);
    cluster.isolated.clear();
    cluster.isolated.add("a");
    cluster.elect("b");
    cluster.propose("b", "kept");
    cluster.isolated.clear();
    for (let i = 0; i < 4; i += 1) {
      cluster.now += 100;
      cluster.nodeOf("b").tick(cluster.now);
      cluster.settle();
    }
    expect(cluster.applied.get("a")).toEqual(["kept"]);
  });

  it("brings a replica up to date with a snapshot", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    cluster.isolated.add("c");
    for (let i = 0; i < 10; i += 1) cluster.propose("a", `${i}`);
    const snapshot = leader.createSnapshot("state at 10", 10);
    if (snapshot !== undefined) leader.compact(snapshot);
    cluster.settle();
    expect(leader.logSize).toBe(1);
    cluster.isolated.clear();
    for (let i = 0; i < 8; i += 1) {
      cluster.now += 100;
      leader.tick(cluster.now);
      cluster.settle();
    }
    expect(cluster.disks.get("c")?.snapshot.state).toBe("state at 10");
    expect(cluster.nodeOf("c").committed).toBe(11);
  });

  it("brings a lagging replica up to date in batches of limited size", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    const sizes: number[] = [];
    cluster.isolated.add("c");
    const command = "x".repeat(100_000);
    for (let i = 0; i < 9; i += 1) cluster.propose("a", command);
    cluster.isolated.clear();
    cluster.drops = (message) => {
      if (message.type === "appendRequest" && message.to === "c") {
        sizes.push(message.entries.length);
      }
      return false;
    };
    for (let i = 0; i < 30; i += 1) {
      cluster.now += 100;
      leader.tick(cluster.now);
      cluster.settle();
    }
    expect(cluster.nodeOf("c").committed).toBe(10);
    expect(Math.max(...sizes)).toBe(2);
  });

  it("resends entries when a heartbeat reply shows that they were lost", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    cluster.drops = (message) =>
      message.type === "appendRequest" && message.to === "c" &&
      message.entries.length > 0;
    cluster.propose("a", "1");
    cluster.drops = () => false;
    cluster.now += 100;
    leader.tick(cluster.now);
    cluster.settle();
    expect(cluster.nodeOf("c").last.index).toBe(leader.last.index);
  });

  it("transfers leadership at once and releases its lease", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    expect(leader.hasLease(cluster.now)).toBe(true);
    cluster.drops = (m) => m.type === "transferRequest";
    expect(leader.transferLeadership(cluster.now)).toBe(true);
    expect(leader.hasLease(cluster.now)).toBe(false);
    expect(leader.propose("x", cluster.now)).toBeUndefined();
    cluster.settle();
    leader.tick(cluster.now + 1_001);
    expect(leader.role).toBe("follower");
    cluster.drops = () => false;
    const next = cluster.elect("b");
    next.transferLeadership(cluster.now);
    cluster.settle();
    expect(next.role).toBe("follower");
    expect([...cluster.nodes.values()].some((n) => n.role === "leader"))
      .toBe(true);
  });

  it("schedules a tick only for replicas that may lead", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    const members = { voters: ["a", "b", "c"], learners: ["d"] };
    cluster.disks.set("d", stored([]));
    const learner = cluster.start("d");
    expect(learner.nextTickAt).toBe(Infinity);
    leader.proposeMembers(members, cluster.now);
    cluster.settle();
    expect(learner.nextTickAt).toBe(Infinity);
    expect(cluster.nodeOf("b").nextTickAt).toBeGreaterThan(cluster.now);
    expect(leader.nextTickAt).toBeLessThan(Infinity);
  });

  /** Promotes learner `c` without letting it receive that entry. */
  function promoteUnseen(): Cluster {
    const cluster = new Cluster(["a", "b"]);
    cluster.disks.set("c", stored([]));
    cluster.start("c");
    const leader = cluster.elect("a");
    const voters = ["a", "b"];
    leader.proposeMembers({ voters, learners: ["c"] }, cluster.now);
    cluster.settle();
    leader.tick(cluster.now += 100);
    cluster.settle();
    cluster.drops = ({ to }) => to === "c";
    const promoted = { voters: [...voters, "c"], learners: [] };
    expect(leader.proposeMembers(promoted, cluster.now)).toBeDefined();
    cluster.settle();
    leader.tick(cluster.now += 100);
    cluster.settle();
    cluster.drops = () => false;
    return cluster;
  }

  it("elects a leader by a voter that has not seen its promotion", () => {
    const cluster = promoteUnseen();
    expect(cluster.nodeOf("c").members.voters).not.toContain("c");
    cluster.isolated.add("a");
    expect(cluster.elect("b").role).toBe("leader");
  });

  it("shows a voter among the committed ones after the commit", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    cluster.isolated.add("b").add("c");
    const reduced = { voters: ["a", "b"], learners: [] };
    leader.proposeMembers(reduced, cluster.now);
    cluster.settle();
    expect(leader.members).toEqual(reduced);
    expect(leader.committedMembers.voters).toEqual(["a", "b", "c"]);
    cluster.isolated.clear();
    leader.tick(cluster.now += 100);
    cluster.settle();
    expect(leader.committedMembers).toEqual(reduced);
  });

  it("rejects the promotion of a learner that is not caught up", () => {
    const cluster = create();
    const leader = cluster.elect("a");
    const voters = ["a", "b", "c"];
    leader.proposeMembers({ voters, learners: ["c2"] }, cluster.now);
    cluster.settle();
    const next = { voters: [...voters, "c2"], learners: [] };
    expect(leader.proposeMembers(next, cluster.now)).toBeUndefined();
    cluster.start("c2");
    for (let i = 0; i < 3; i += 1) {
      cluster.now += 600;
      leader.tick(cluster.now);
      cluster.settle();
    }
    expect(leader.proposeMembers(next, cluster.now)).toBeDefined();
  });
});

describe(nextMembers.name, () => {
  it("replaces a replica that lost its disk in three changes", () => {
    let members = { voters: ["a#1", "b#1", "c#1"], learners: [] as string[] };
    const steps = [];
    for (let i = 0; i < 5; i += 1) {
      const next = nextMembers({
        members,
        present: ["a#1", "b#1", "c#2"],
        wantedVoters: 3,
        isCaughtUp: () => true,
      });
      if (next === undefined) break;
      members = { voters: [...next.voters], learners: [...next.learners] };
      steps.push(members);
    }
    expect(steps).toEqual([
      { voters: ["a#1", "b#1", "c#1"], learners: ["c#2"] },
      { voters: ["a#1", "b#1"], learners: ["c#2"] },
      { voters: ["a#1", "b#1", "c#2"], learners: [] },
    ]);
  });

  it("keeps a voter that is only temporarily absent", () => {
    expect(nextMembers({
      members: { voters: ["a#1", "b#1", "c#1"], learners: [] },
      present: ["a#1", "b#1"],
      wantedVoters: 3,
      isCaughtUp: () => true,
    })).toBeUndefined();
  });
});

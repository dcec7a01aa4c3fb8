import { describe, expect, it } from "vitest";
import type { ConsensusEffect } from "./consensus_effect.ts";
import type { ConsensusMessage } from "./consensus_message.ts";
import { ConsensusNode } from "./consensus_node.ts";
import type { StoredLog } from "./consensus_options.ts";
import type { SnapshotDivider } from "./snapshot_parts.ts";
import type { StateReferences } from "./state_references.ts";

type Message = ConsensusMessage<string, string>;
type Node = ConsensusNode<string, string>;

const TIMES = { heartbeatMs: 100, electionMs: 1_000, clockRateError: 0.02 };
/** Time that a message takes, in milliseconds, with the sync at its end. */
const DELAY_MS = 25;
/** Time in which a replica with an empty disk must hold all, in milliseconds. */
const CATCH_UP_MS = 4_900;
const COMMAND = "x".repeat(50_000);
const COMMANDS = 700;
const PART_LENGTH = 20_000;
const LATER_STATE = "jihgfedcba".repeat(1_000_000);
/** Size of all entries up to which those stay that `b` needs, in bytes. */
const MAX_HELD_BYTES = 16_000_000;
const SNAPSHOT_INTERVAL_MS = 100;
/** Time in which a new learner has been sent parts of the snapshot. */
const TRANSFER_BEGUN_MS = 60;
/** Messages that the leader sends a replica without an answer. */
const MAX_UNANSWERED = 16;
/** State of a replica that has been sent references. */
const DETACHED_STATE = "references";
/** State that a replica had before. */
const OWN_STATE = "data";

const DIVIDER: SnapshotDivider<string> = {
  split: (state) =>
    Array.from(
      { length: Math.ceil(state.length / PART_LENGTH) },
      (_, i) => state.slice(i * PART_LENGTH, (i + 1) * PART_LENGTH),
    ),
  join: (parts) => parts.join(""),
};

/** Options of {@link Pair}. */
interface PairOptions {
  /** Replicas that take references; by default, none does. */
  readonly referencing?: readonly string[];
  /** Replicas that lack data; by default, none does. */
  readonly partial?: readonly string[];
}

/** A leader `a` and a replica `b` with an empty disk, with delayed messages. */
class Pair {
  readonly #options: PairOptions;
  readonly nodes = new Map<string, Node>();
  readonly #inTransit: { message: Message; dueAt: number }[] = [];
  /** Rewrites a message, or drops it by returning undefined. */
  rewrite: (message: Message) => Message | undefined = (m) => m;
  /** Last state that `b` has restored. */
  restored = "";
  now = 0;

  constructor(options: PairOptions = {}) {
    this.#options = options;
    this.#start("a", ["a"]);
    this.#start("b", []);
    this.leader.tick(this.advance(2_000).now);
    this.advance(100);
  }

  get leader(): Node {
    return this.nodes.get("a")!;
  }

  #start(id: string, voters: string[]): void {
    const stored: StoredLog<string, string> = {
      hardState: { term: 0, votedFor: undefined },
      snapshot: {
        index: 0,
        term: 0,
        members: { voters, learners: [] },
        state: "",
      },
      entries: [],
    };
    const node: Node = new ConsensusNode({
      self: id,
      stored,
      times: TIMES,
      random: () => 0,
      now: this.now,
      sizeOf: (command) => command.length,
      divider: DIVIDER,
      references: this.#options.referencing?.includes(id) === true
        ? this.#createReferences(id)
        : undefined,
    });
    this.nodes.set(id, node);
  }

  #createReferences(id: string): StateReferences<string, string> {
    return {
      isPartial: () => this.#options.partial?.includes(id) === true,
      getApplied: () => ({
        index: this.nodes.get(id)?.committed ?? 0,
        state: LATER_STATE,
      }),
      detach: () => DETACHED_STATE,
      attach: (state) => state === DETACHED_STATE ? OWN_STATE : state,
    };
  }

  /** Fills the leader's log, and adds `b` as a learner. */
  fill(): this {
    for (let i = 0; i < COMMANDS; i += 1) {
      this.leader.propose(COMMAND, this.now);
      this.#carryOut();
    }
    this.advance(100);
    return this;
  }

  addLearner(): this {
    this.leader
      .proposeMembers({ voters: ["a"], learners: ["b"] }, this.now);
    return this;
  }

  advance(ms: number): this {
    const end = this.now + ms;
    for (; this.now < end; this.now += 1) {
      if (this.leader?.leader === "a" && this.now >= this.leader.nextTickAt) {
        this.leader.tick(this.now);
      }
      this.#deliver();
      this.#carryOut();
    }
    return this;
  }

  /** Replaces the leader's snapshot by one after a further entry. */
  replaceSnapshot(maxBytes = MAX_HELD_BYTES): this {
    this.leader.propose(COMMAND, this.now);
    this.#carryOut();
    const { committed } = this.leader;
    const snapshot = this.leader.createSnapshot(LATER_STATE, committed);
    this.leader.compact(snapshot!, { now: this.now, maxBytes });
    return this;
  }

  /** Gets the time until `b` holds all, in milliseconds. */
  measureCatchUp(limitMs: number): number {
    const startedAt = this.now;
    while (!this.leader.isCaughtUp("b", this.now)) {
      if (this.now - startedAt > limitMs) return Infinity;
      this.advance(1);
    }
    return this.now - startedAt;
  }

  /** Loses all messages on their way, as their link is exchanged. */
  loseInTransit(): void {
    this.#inTransit.length = 0;
  }

  #deliver(): void {
    while ((this.#inTransit[0]?.dueAt ?? Infinity) <= this.now) {
      const { message } = this.#inTransit.shift()!;
      this.nodes.get(message.to)?.receive(message, this.now);
    }
  }

  #carryOut(): void {
    for (const node of this.nodes.values()) {
      let effects: ConsensusEffect<string, string>[];
      while ((effects = node.takeEffects()).length > 0) {
        for (const effect of effects) this.#carryOutOne(node, effect);
      }
    }
  }

  #carryOutOne(node: Node, effect: ConsensusEffect<string, string>): void {
    if (effect.type === "write") node.onWritten(effect, this.now);
    if (effect.type === "restore") this.restored = effect.snapshot.state;
    if (effect.type !== "send") return;
    const message = this.rewrite(effect.message);
    if (message === undefined) return;
    this.#inTransit.push({ message, dueAt: this.now + DELAY_MS });
  }
}

describe("a replica with an empty disk", () => {
  // Guards against a repair that outlasts the time until the next lost disk.
  it("holds a log of tens of MB within the time to catch up", () => {
    const pair = new Pair().fill().addLearner();
    expect(pair.measureCatchUp(CATCH_UP_MS)).toBeLessThan(CATCH_UP_MS);
    expect(pair.nodes.get("b")?.last.index).toBe(COMMANDS + 2);
  });

  it("gets lost entries again, and each no more often than needed", () => {
    const pair = new Pair().fill().addLearner();
    let sent = 0;
    pair.rewrite = (message) => {
      if (message.type !== "appendRequest") return message;
      if (message.entries.length === 0) return message;
      sent += 1;
      return sent === 20 ? undefined : message;
    };
    expect(pair.measureCatchUp(CATCH_UP_MS)).toBeLessThan(CATCH_UP_MS);
    expect(sent).toBeLessThan(COMMANDS / 5 + 30);
  });

  describe("that needs a snapshot", () => {
    const STATE = "abcdefghij".repeat(1_000_000);

    function createPair(): Pair {
      const pair = new Pair().fill();
      const snapshot = pair.leader.createSnapshot(STATE, COMMANDS);
      pair.leader.compact(snapshot!);
      return pair.addLearner();
    }

    function doTest(rewrite: (message: Message) => Message | undefined) {
      const pair = createPair();
      const types = new Set<string>();
      pair.rewrite = (message) => {
        types.add(message.type);
        return rewrite(message);
      };
      expect(pair.measureCatchUp(2 * CATCH_UP_MS)).toBeLessThan(CATCH_UP_MS);
      expect(pair.restored).toBe(STATE);
      return types;
    }

    // Guards against one message of the whole state, which outlasts its link.
    it("gets it in parts", () => {
      const types = doTest((message) => message);
      expect(types.has("snapshotRequest")).toBe(false);
    });

    it("goes on after a lost part", () => {
      let parts = 0;
      doTest((message) => {
        if (message.type !== "snapshotPartRequest") return message;
        parts += 1;
        return parts === 3 ? undefined : message;
      });
    });

    // Guards against a transfer that stands still until a timer ends.
    it("goes on each time that a link was exchanged", () => {
      const pair = createPair();
      const startedAt = pair.now;
      let parts = 0;
      pair.rewrite = (message) => {
        if (message.type === "snapshotPartRequest") parts += 1;
        return message;
      };
      for (let links = 1; links <= 3; links += 1) {
        while (parts < links * MAX_UNANSWERED) pair.advance(1);
        pair.loseInTransit();
      }
      pair.measureCatchUp(2 * CATCH_UP_MS);
      expect(pair.restored).toBe(STATE);
      expect(pair.now - startedAt).toBeLessThan(CATCH_UP_MS);
    });

    // Guards against a transfer that begins anew with each snapshot.
    it("holds all although the leader's snapshot is replaced meanwhile", () => {
      const pair = createPair();
      const startedAt = pair.now;
      while (!pair.leader.isCaughtUp("b", pair.now)) {
        if (pair.now - startedAt > 2 * CATCH_UP_MS) break;
        pair.replaceSnapshot().advance(SNAPSHOT_INTERVAL_MS);
      }
      expect(pair.now - startedAt).toBeLessThan(CATCH_UP_MS);
      expect(pair.nodes.get("b")?.last).toEqual(pair.leader.last);
    });

    it("gets a later one if the entries that follow need too much room", () => {
      const pair = createPair().advance(TRANSFER_BEGUN_MS).replaceSnapshot(0);
      expect(pair.measureCatchUp(CATCH_UP_MS)).toBeLessThan(CATCH_UP_MS);
      expect(pair.restored).toBe(LATER_STATE);
    });

    it("gets a later one if a part of it can no longer be read", () => {
      const pair = createPair().advance(TRANSFER_BEGUN_MS).replaceSnapshot();
      pair.rewrite = (message) => {
        if (message.type !== "snapshotPartRequest") return message;
        const { index } = message.snapshot;
        if (index > COMMANDS) return message;
        pair.leader.abandonTransfer("b", index);
        return undefined;
      };
      expect(pair.measureCatchUp(CATCH_UP_MS)).toBeLessThan(CATCH_UP_MS);
      expect(pair.restored).toBe(LATER_STATE);
    });

    it("gets it as a whole if it is of an earlier build", () => {
      const types = doTest((message) => {
        if (message.type === "snapshotPartRequest") return undefined;
        if (message.type !== "appendReply") return message;
        const { takesParts: _, ...reply } = message;
        return reply;
      });
      expect(types.has("snapshotPartRequest")).toBe(false);
    });
  });

  describe("that takes references", () => {
    /** Size of the parts of a snapshot and the entries that `b` is sent. */
    function doTest(options: PairOptions, limitMs = CATCH_UP_MS) {
      const pair = new Pair(options).fill();
      let bytes = 0;
      pair.rewrite = (message) => {
        if (message.type === "snapshotPartRequest") {
          bytes += message.parts.join("").length;
        } else if (message.type === "appendRequest") {
          bytes += message.entries.length * COMMAND.length;
        }
        return message;
      };
      const catchUpMs = pair.addLearner().measureCatchUp(limitMs);
      return { pair, bytes, catchUpMs };
    }

    // Guards against a vote that waits for all that was ever kept.
    it("holds all without the data, though the log has it", () => {
      const { pair, bytes, catchUpMs } = doTest({ referencing: ["a", "b"] });
      expect(catchUpMs).toBeLessThan(CATCH_UP_MS / 10);
      expect(bytes).toBeLessThan(10 * COMMAND.length);
      expect(pair.restored).toBe(OWN_STATE);
    });

    it("is sent references by a leader that lacks data", () => {
      const options = { referencing: ["a", "b"], partial: ["a"] };
      expect(doTest(options).catchUpMs).toBeLessThan(CATCH_UP_MS / 10);
    });

    it("is told apart while it lacks data", () => {
      const options = { referencing: ["a", "b"], partial: ["b"] };
      const { leader } = doTest(options).pair;
      expect(leader.isPartial("b")).toBe(true);
      expect(leader.isPartial("a")).toBe(false);
    });

    it("gets all data if one of the two is of an earlier build", () => {
      for (const id of ["a", "b"]) {
        const { pair, bytes, catchUpMs } = doTest({ referencing: [id] });
        expect(catchUpMs).toBeLessThan(CATCH_UP_MS);
        expect(bytes).toBeGreaterThan(COMMANDS * COMMAND.length - 1);
        expect(pair.restored).toBe("");
      }
    });

    it("gets no snapshot of a leader that lacks data, if of an earlier build", () => {
      const pair = new Pair({ referencing: ["a"], partial: ["a"] }).fill();
      const snapshot = pair.leader.createSnapshot(DETACHED_STATE, COMMANDS);
      pair.leader.compact(snapshot!);
      expect(pair.addLearner().measureCatchUp(CATCH_UP_MS)).toBe(Infinity);
      expect(pair.restored).toBe("");
    });
  });
});

/** Randomised runs of the control log, its orders and its answers. */
import {
  ALL_GUARDS,
  type ConsensusGuards,
  formatReplicaId,
  instanceOf,
  nextMembers,
} from "../src/core/consensus/mod.ts";
import type { CommandAnswer, ControlCommand } from "../src/core/control/mod.ts";
import type {
  OrderGuards,
  OrderSend,
  Standing,
} from "../src/core/orders/mod.ts";
import { ControlProcess, LONGEST_SEND_MS } from "./control_process.ts";
import { countFault, type FaultCounts, Network } from "./network.ts";
import { FaultKind, type RunResult, type ScheduledFault } from "./schedule.ts";
import { Scheduler } from "../sim/scheduler.ts";

/** Options of {@link ControlWorld}. */
export interface ControlWorldOptions {
  /** Seed. */
  readonly seed: number;
  /** Processes. */
  readonly size: number;
  /** Length, in virtual milliseconds. */
  readonly lengthMs: number;
  /** Faults. */
  readonly faults: readonly ScheduledFault[];
  /** Checks in place; all where absent. */
  readonly guards?: Partial<ConsensusGuards>;
  /** Checks of orders in place; all where absent. */
  readonly orderGuards?: Partial<OrderGuards>;
}

interface Receipt {
  readonly process: string;
  readonly term: number;
  readonly at: number;
}

interface Pending {
  readonly command: ControlCommand;
  readonly term: number;
}

const COMMAND_GAP_MS = 60;
const BURST_MS = 2_500;
const REPAIR_GAP_MS = 150;
const ORDER_GAP_MS = 30;
const WORKSPACES = ["artis", "blijdorp", "burgers"] as const;

/** Runs control processes, a platform that ignores fencing, and operators. */
export class ControlWorld {
  readonly #options: ControlWorldOptions;
  readonly #scheduler: Scheduler;
  readonly #counts: FaultCounts = new Map();
  readonly #network: Network;
  readonly #processes: ControlProcess[];
  /** Text of each committed entry, by position. */
  readonly #committed = new Map<number, string>();
  readonly #leaders = new Map<number, string>();
  readonly #pending = new Map<number, Pending>();
  readonly #answers = new Map<string, string>();
  readonly #receipts: Receipt[] = [];
  readonly #usage = new Map<string, string>();
  #violation: string | undefined;
  #requests = 0;
  #acknowledged = 0;
  #repairedAt = -Infinity;
  #crashesAtElection: ((run: () => void) => void) | undefined;

  /** Creates the processes. */
  constructor(options: ControlWorldOptions) {
    this.#options = options;
    this.#scheduler = new Scheduler(options.seed);
    this.#network = new Network(this.#scheduler, {
      faults: { loss: 0.02, duplication: 0.02, maxDelayMs: 25 },
      counts: this.#counts,
    });
    const ids = Array.from({ length: options.size }, (_, i) => `c${i}`);
    const voters = ids.map((id) => formatReplicaId(id, "first"));
    this.#processes = ids.map((id) =>
      new ControlProcess({
        id,
        clockRate: this.#scheduler.between(0.99, 1.01),
        members: { voters, learners: [] },
        scheduler: this.#scheduler,
        guards: { ...ALL_GUARDS, ...options.guards },
        orderGuards: {
          waitsAfterTakeover: true,
          checksLease: true,
          ...options.orderGuards,
        },
        ports: {
          send: (message) => this.#send(message),
          applied: (process, entry, answer) =>
            this.#onApplied(process, { entry, answer }),
          restored: () => {},
          role: (process) => this.#onRole(process),
          resuming: (process) => this.#sendOrdersOf(process),
          violation: (text) => this.#fail(text),
        },
      })
    );
  }

  /** Runs to the end or to the first broken promise. */
  run(): RunResult {
    for (const fault of this.#options.faults) {
      this.#scheduler.after(fault.at, () => this.#inject(fault));
    }
    this.#scheduler.everyAbout(COMMAND_GAP_MS, () => this.#command());
    this.#scheduler.everyAbout(REPAIR_GAP_MS, () => this.#repair());
    this.#scheduler.everyAbout(ORDER_GAP_MS, () => this.#sendOrders());
    const { lengthMs } = this.#options;
    this.#scheduler.runWhile(() => this.#violation === undefined, lengthMs);
    return {
      violation: this.#violation,
      steps: this.#scheduler.steps,
      faults: this.#counts,
      work: {
        committed: this.#committed.size,
        acknowledged: this.#acknowledged,
        orders: this.#receipts.length,
        leaders: this.#leaders.size,
      },
    };
  }

  #fail(text: string): void {
    this.#violation ??= `${Math.round(this.#scheduler.now)} ms: ${text}`;
  }

  #processOf(replica: string): ControlProcess | undefined {
    return this.#processes.find((p) => p.id === instanceOf(replica));
  }

  #send(message: Parameters<ControlProcess["receive"]>[0]): void {
    const from = instanceOf(message.from);
    const to = instanceOf(message.to);
    this.#network.send(
      { from, to },
      () => this.#processOf(message.to)?.receive(message),
    );
  }

  #onRole(process: ControlProcess): void {
    const { node } = process;
    if (node === undefined || !process.isLeader) return;
    const known = this.#leaders.get(node.term);
    if (known !== undefined && known !== process.replica) {
      this.#fail(`${known} and ${process.replica} lead term ${node.term}`);
    }
    this.#leaders.set(node.term, process.replica);
    this.#crashVoterOf(process);
  }

  #crashVoterOf(leader: ControlProcess): void {
    const heal = this.#crashesAtElection;
    if (heal === undefined) return;
    this.#crashesAtElection = undefined;
    const others = this.#processes.filter((p) => p !== leader);
    const voter = this.#scheduler.pick(others);
    this.#scheduler.after(0, () => {
      voter.crash();
      voter.start();
      this.#cut(leader, { isBoth: true, heal });
    });
  }

  #onApplied(
    process: ControlProcess,
    applied: {
      entry: { index: number; term: number; content: unknown };
      answer: CommandAnswer | undefined;
    },
  ): void {
    const { entry, answer } = applied;
    const digest = JSON.stringify({ ...entry, answer });
    const known = this.#committed.get(entry.index);
    if (known === undefined) this.#committed.set(entry.index, digest);
    else if (known !== digest) {
      this.#fail(`Entry ${entry.index} differs at ${process.replica}`);
    }
    if (answer?.type === "rejected") {
      this.#fail(`Entry ${entry.index} was rejected: ${answer.invariant}`);
    }
    const pending = this.#pending.get(entry.index);
    if (pending?.term !== entry.term || answer === undefined) return;
    this.#pending.delete(entry.index);
    this.#acknowledge(pending.command, answer);
  }

  #acknowledge(command: ControlCommand, answer: CommandAnswer): void {
    this.#acknowledged += 1;
    if (command.type !== "changeConfiguration") return;
    const { requestId } = command.change;
    if (answer.type !== "applied") return;
    const text = JSON.stringify(answer);
    const known = this.#answers.get(requestId);
    if (known !== undefined && known !== text) {
      this.#fail(`Request ${requestId} was answered ${known}, then ${text}`);
    }
    this.#answers.set(requestId, text);
  }

  /** Operators come in bursts; in between, a lagging voter catches up. */
  #command(): void {
    if (Math.floor(this.#scheduler.now / BURST_MS) % 2 === 1) return;
    const leader = this.#scheduler.pick(this.#processes);
    if (!leader.isActive || !leader.isLeader) return;
    leader.run(() => {
      const command = this.#draw(leader);
      const position = leader.node?.propose(command, leader.now);
      if (position === undefined) return;
      this.#pending.set(position.index, { command, term: position.term });
    });
  }

  #draw(leader: ControlProcess): ControlCommand {
    const kind = this.#scheduler.random();
    if (kind < 0.5) return this.#drawChange(leader);
    this.#requests += 1;
    if (kind < 0.7) {
      const id = `o${this.#requests}`;
      const order = { id, receiver: "platform", body: {} };
      return { type: "orderIntent", order };
    }
    if (kind < 0.9) return this.#drawSeal();
    return {
      type: "announceWeights",
      model: "planner",
      version: this.#requests,
      at: this.#scheduler.now,
    };
  }

  #drawChange(leader: ControlProcess): ControlCommand {
    const isResent = this.#scheduler.random() < 0.3 && this.#requests > 0;
    if (!isResent) this.#requests += 1;
    const workspace = WORKSPACES[this.#requests % WORKSPACES.length];
    return {
      type: "changeConfiguration",
      change: {
        requestId: `r${this.#requests}`,
        sections: {
          workspaces: { [workspace]: { weight: 1 + this.#requests % 9 } },
        },
        base: {
          workspaces: leader.state.configuration.revisionOf("workspaces"),
        },
      },
    };
  }

  /** The same window is sealed again with the same figures, as on a resend. */
  #drawSeal(): ControlCommand {
    const window = Math.floor(this.#scheduler.now / 2_000) * 2_000;
    const figures = [{
      workspace: "artis",
      route: "planner",
      requests: window,
      tokens: 1,
      samples: 0,
      wastedTokens: 0,
    }];
    const text = JSON.stringify(figures);
    const name = `nl-1/${window}`;
    if ((this.#usage.get(name) ?? text) !== text) this.#fail(`Window ${name}`);
    this.#usage.set(name, text);
    return {
      type: "sealUsage",
      dataCentre: "nl-1",
      sealed: { window, figures },
    };
  }

  #repair(): void {
    for (const leader of this.#processes) {
      if (!leader.isActive || !leader.isLeader) continue;
      leader.run(() => {
        const { node } = leader;
        if (node === undefined) return;
        const present = this.#processes
          .filter((p) => p.node !== undefined)
          .filter((p) => this.#network.passes(leader.id, p.id))
          .map((p) => p.replica);
        const next = nextMembers({
          members: node.members,
          present,
          wantedVoters: this.#options.size,
          isWhole: (replica) => node.isWhole(replica, leader.now),
        });
        if (next === undefined) return;
        const position = node.proposeMembers(next, leader.now);
        const isPromotion = next.voters.length > node.members.voters.length;
        if (position !== undefined && isPromotion) {
          this.#repairedAt = this.#scheduler.now;
        }
      });
    }
  }

  #sendOrders(): void {
    for (const process of this.#processes) {
      if (process.isActive) this.#sendOrdersOf(process);
    }
    this.#checkLeases();
  }

  #sendOrdersOf(process: ControlProcess): void {
    process.run(() => {
      const standing = standingOf(process);
      const open = process.state.openOrders.slice(0, 20);
      for (const send of process.sender.due(open, standing, process.now)) {
        this.#sendOrder(process, send);
      }
    });
  }

  #checkLeases(): void {
    const holders = this.#processes
      .filter((p) => p.node?.hasLease(p.now) ?? false)
      .map((p) => p.replica);
    if (holders.length > 1) this.#fail(`${holders.join(" and ")} hold leases`);
  }

  /** An order arrives within its time, or not at all. */
  #sendOrder(process: ControlProcess, send: OrderSend): void {
    const delay = this.#scheduler.between(1, LONGEST_SEND_MS * 1.2);
    const isLost = this.#scheduler.random() < 0.1 || delay > send.timeoutMs;
    const { term } = send.fencing;
    const onEnd = () =>
      process.run(() => {
        if (isLost) {
          process.sender.onFailed(send.order.id, process.now);
          return;
        }
        process.sender.onEnded(send.order.id);
        process.node?.propose(
          { type: "orderOutcome", id: send.order.id, outcome: "done" },
          process.now,
        );
      });
    if (!isLost) {
      this.#scheduler.after(delay, () => this.#receiveOrder(process, term));
    }
    this.#scheduler.after(delay + 1, onEnd);
  }

  #receiveOrder(process: ControlProcess, term: number): void {
    const { now } = this.#scheduler;
    const newest = this.#receipts.at(-1);
    if (newest !== undefined && term < newest.term) {
      this.#fail(
        `The platform got an order of ${process.replica} in term ${term} ` +
          `after one of ${newest.process} in term ${newest.term}`,
      );
    }
    for (const other of this.#processes) {
      if (other === process || other.node === undefined) continue;
      const standing = standingOf(other);
      const isInCharge = standing.term !== undefined &&
        standing.term > term && other.now >= other.sender.sendsFrom &&
        other.now < standing.leaseEnd;
      if (!isInCharge) continue;
      this.#fail(
        `${other.replica} is in charge while ${process.replica} sends`,
      );
    }
    this.#receipts.push({ process: process.replica, term, at: now });
  }

  #inject(fault: ScheduledFault): void {
    const index = Math.floor(fault.pick * this.#processes.length);
    const victim = this.#processes[index];
    countFault(this.#counts, fault.kind);
    const heal = (run: () => void) => this.#scheduler.after(fault.forMs, run);
    const handlers: Readonly<Record<FaultKind, () => void>> = {
      crash: () => {
        victim.crash();
        heal(() => victim.start());
      },
      pause: () => {
        const leader = this.#processes.find((p) => p.isLeader) ?? victim;
        leader.pause();
        heal(() => leader.resume());
      },
      partition: () => this.#cut(victim, { isBoth: true, heal }),
      asymmetricPartition: () => {
        const leader = this.#processes.find((p) => p.isLeader) ?? victim;
        if (fault.forMs % 2 === 0) this.#cut(victim, { isBoth: false, heal });
        else this.#cutLink(leader, victim, heal);
      },
      diskLoss: () => this.#loseDisk(victim, heal),
      secondDiskLoss: () => this.#loseSecondDisk(victim, heal),
      electionCrash: () => {
        this.#crashesAtElection = heal;
        this.#processes.find((p) => p.isLeader)?.crash();
        heal(() => this.#processes.forEach((p) => p.start()));
      },
      handover: () => {
        const leader = this.#processes.find((p) => p.isLeader && p.isActive);
        leader?.run(() => leader.node?.yieldLeadership(leader.now));
      },
      restartAll: () => {
        for (const process of this.#processes) {
          process.crash();
          this.#scheduler.after(
            this.#scheduler.between(10, 2_000),
            () => process.start(),
          );
        }
      },
    };
    handlers[fault.kind]();
  }

  #cutLink(
    from: ControlProcess,
    to: ControlProcess,
    heal: (run: () => void) => void,
  ): void {
    this.#network.cut(from.id, to.id);
    this.#network.cut(to.id, from.id);
    heal(() => {
      this.#network.mend(from.id, to.id);
      this.#network.mend(to.id, from.id);
    });
  }

  #cut(
    victim: ControlProcess,
    options: { isBoth: boolean; heal: (run: () => void) => void },
  ): void {
    const others = this.#processes.filter((p) => p !== victim).map((p) => p.id);
    options.heal(this.#network.isolate(victim.id, others, options));
  }

  /** Disks are lost only as far as a quorum of the voters keeps its own. */
  #loseDisk(victim: ControlProcess, heal: (run: () => void) => void): void {
    const settled = this.#processes.find((p) => p.node?.isSettled);
    const node = settled?.node;
    if (node === undefined || settled === undefined) return;
    const { voters } = node.members;
    const kept = voters.filter((id) =>
      this.#processOf(id)?.replica === id && id !== victim.replica
    );
    const isVoter = voters.includes(victim.replica);
    const needed = Math.floor(voters.length / 2) + 1;
    if (isVoter && kept.length < needed) return;
    countFault(this.#counts, "disk lost");
    victim.loseDisk();
    heal(() => victim.start());
  }

  #loseSecondDisk(
    victim: ControlProcess,
    heal: (run: () => void) => void,
  ): void {
    this.#loseDisk(victim, (run) => this.#scheduler.after(50, run));
    const waitForRepair = (tries: number) => {
      this.#scheduler.after(25, () => {
        const isRepaired = this.#scheduler.now - this.#repairedAt <= 25;
        if (!isRepaired && tries > 0) return waitForRepair(tries - 1);
        const others = this.#processes.filter((p) => p !== victim);
        this.#loseDisk(this.#scheduler.pick(others), heal);
      });
    };
    waitForRepair(400);
  }
}

function standingOf(process: ControlProcess): Standing {
  const { node } = process;
  if (node === undefined || !process.isLeader) {
    return { term: undefined, leaseEnd: -Infinity };
  }
  return { term: node.term, leaseEnd: node.leaseEnd(process.now) };
}

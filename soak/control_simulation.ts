/** Randomised simulation of the control log, its orders and command results. */
import {
  ALL_GUARDS,
  type ConsensusGuards,
  formatReplicaId,
  instanceOf,
  nextMembers,
} from "../src/core/consensus/mod.ts";
import type { CommandResult, ControlCommand } from "../src/core/control/mod.ts";
import type {
  LeadershipStatus,
  OrderGuards,
  OrderSend,
} from "../src/core/orders/mod.ts";
import { ControlProcess, MAX_SEND_MS } from "./control_process.ts";
import { FaultKind, type RunResult, type ScheduledFault } from "./schedule.ts";
import { type Heal, SimulatedRun } from "./simulated_run.ts";
import type { Scheduler } from "../sim/scheduler.ts";
import type { Network } from "./network.ts";

/** Options of {@link ControlSimulation}. */
export interface ControlSimulationOptions {
  /** Seed of all random draws. */
  readonly seed: number;
  /** Number of processes. */
  readonly size: number;
  /** Duration, in virtual milliseconds. */
  readonly lengthMs: number;
  /** Faults to inject. */
  readonly faults: readonly ScheduledFault[];
  /** Safety checks of the consensus protocol; all enabled where absent. */
  readonly guards?: Partial<ConsensusGuards>;
  /** Safety checks of the order sender; all enabled where absent. */
  readonly orderGuards?: Partial<OrderGuards>;
}

/** An order that reached the simulated platform. */
interface ReceivedOrder {
  readonly process: string;
  readonly term: number;
  readonly at: number;
}

/** A proposed command whose result is not known yet. */
interface PendingCommand {
  readonly command: ControlCommand;
  readonly term: number;
}

const COMMAND_INTERVAL_MS = 60;
/** Duration of a burst of commands, and of the break after it. */
const COMMAND_BURST_MS = 2_500;
const REPAIR_INTERVAL_MS = 150;
const ORDER_INTERVAL_MS = 30;
const WORKSPACES = ["artis", "blijdorp", "burgers"] as const;

/** Simulates control processes, operators, and a platform without fencing. */
export class ControlSimulation {
  readonly #options: ControlSimulationOptions;
  readonly #run: SimulatedRun;
  readonly #scheduler: Scheduler;
  readonly #network: Network;
  readonly #processes: ControlProcess[];
  /** Digest of each committed entry and its result, by index. */
  readonly #committedEntries = new Map<number, string>();
  /** Leader of each term; two of them violate safety. */
  readonly #leadersByTerm = new Map<number, string>();
  readonly #pendingCommands = new Map<number, PendingCommand>();
  readonly #resultsByRequest = new Map<string, string>();
  readonly #receivedOrders: ReceivedOrder[] = [];
  readonly #figuresByWindow = new Map<string, string>();
  #requestCount = 0;
  #acknowledgedCount = 0;
  /** Virtual time of the last proposal that adds a voter. */
  #voterAddedAt = -Infinity;
  /** Schedules the end of a pending election crash. */
  #healElectionCrash: Heal | undefined;

  /** Creates and starts the processes. */
  constructor(options: ControlSimulationOptions) {
    this.#options = options;
    this.#run = new SimulatedRun({ seed: options.seed, maxDelayMs: 25 });
    this.#scheduler = this.#run.scheduler;
    this.#network = this.#run.network;
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
        callbacks: {
          send: (message) => this.#send(message),
          applied: (process, entry, answer) =>
            this.#onApplied(process, { entry, answer }),
          restored: () => {},
          role: (process) => this.#onRole(process),
          resuming: (process) => this.#sendOrdersOf(process),
          violation: (text) => this.#run.report(text),
        },
      })
    );
  }

  /** Runs until the end or the first violation of an invariant. */
  run(): RunResult {
    const { faults, lengthMs } = this.#options;
    const result = this.#run.run({
      faults,
      inject: (fault, heal) => this.#injectFault(fault, heal),
      repeated: [
        [COMMAND_INTERVAL_MS, () => this.#proposeCommand()],
        [REPAIR_INTERVAL_MS, () => this.#repairMembership()],
        [ORDER_INTERVAL_MS, () => this.#sendOrders()],
      ],
      lengthMs,
    });
    const work = {
      committed: this.#committedEntries.size,
      acknowledged: this.#acknowledgedCount,
      orders: this.#receivedOrders.length,
      leaders: this.#leadersByTerm.size,
    };
    return { ...result, work };
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
    const existing = this.#leadersByTerm.get(node.term);
    if (existing !== undefined && existing !== process.replica) {
      this.#run.report(
        `${existing} and ${process.replica} both lead term ${node.term}`,
      );
    }
    this.#leadersByTerm.set(node.term, process.replica);
    this.#crashVoterOf(process);
  }

  /** Completes a pending election crash: crashes a voter, isolates the leader. */
  #crashVoterOf(leader: ControlProcess): void {
    const heal = this.#healElectionCrash;
    if (heal === undefined) return;
    this.#healElectionCrash = undefined;
    const others = this.#processes.filter((p) => p !== leader);
    const voter = this.#scheduler.pick(others);
    this.#scheduler.after(0, () => {
      voter.crash();
      voter.start();
      this.#isolate(leader, { isBoth: true, heal });
    });
  }

  #onApplied(
    process: ControlProcess,
    applied: {
      entry: { index: number; term: number; content: unknown };
      answer: CommandResult | undefined;
    },
  ): void {
    const { entry, answer } = applied;
    const digest = JSON.stringify({ ...entry, answer });
    const existing = this.#committedEntries.get(entry.index);
    if (existing === undefined) this.#committedEntries.set(entry.index, digest);
    else if (existing !== digest) {
      this.#run.report(
        `Entry ${entry.index} differs at ${process.replica}`,
      );
    }
    if (answer?.type === "rejected") {
      this.#run.report(
        `Entry ${entry.index} violates the invariant ${answer.invariant}`,
      );
    }
    const pending = this.#pendingCommands.get(entry.index);
    if (pending?.term !== entry.term || answer === undefined) return;
    this.#pendingCommands.delete(entry.index);
    this.#acknowledge(pending.command, answer);
  }

  #acknowledge(command: ControlCommand, result: CommandResult): void {
    this.#acknowledgedCount += 1;
    if (command.type !== "changeConfiguration") return;
    const { requestId } = command.change;
    if (result.type !== "applied") return;
    const text = JSON.stringify(result);
    const existing = this.#resultsByRequest.get(requestId);
    if (existing !== undefined && existing !== text) {
      this.#run.report(
        `Request ${requestId} was answered with ${existing}, then with ${text}`,
      );
    }
    this.#resultsByRequest.set(requestId, text);
  }

  /** Proposes in bursts, so that a lagging voter catches up in between. */
  #proposeCommand(): void {
    if (Math.floor(this.#scheduler.now / COMMAND_BURST_MS) % 2 === 1) return;
    const leader = this.#scheduler.pick(this.#processes);
    if (!leader.isActive || !leader.isLeader) return;
    leader.run(() => {
      const command = this.#drawCommand(leader);
      const proposed = leader.node?.propose(command, leader.now);
      if (proposed === undefined) return;
      this.#pendingCommands.set(proposed.index, {
        command,
        term: proposed.term,
      });
    });
  }

  #drawCommand(leader: ControlProcess): ControlCommand {
    const kind = this.#scheduler.random();
    if (kind < 0.5) return this.#drawChange(leader);
    this.#requestCount += 1;
    if (kind < 0.7) {
      const id = `o${this.#requestCount}`;
      const order = { id, receiver: "platform", body: {} };
      return { type: "orderIntent", order };
    }
    if (kind < 0.9) return this.#drawSeal();
    return {
      type: "announceWeights",
      model: "planner",
      version: this.#requestCount,
      at: this.#scheduler.now,
    };
  }

  #drawChange(leader: ControlProcess): ControlCommand {
    const isResent = this.#scheduler.random() < 0.3 && this.#requestCount > 0;
    if (!isResent) this.#requestCount += 1;
    const workspace = WORKSPACES[this.#requestCount % WORKSPACES.length];
    return {
      type: "changeConfiguration",
      change: {
        requestId: `r${this.#requestCount}`,
        sections: {
          workspaces: { [workspace]: { weight: 1 + this.#requestCount % 9 } },
        },
        base: {
          workspaces: leader.state.configuration.revisionOf("workspaces"),
        },
      },
    };
  }

  /** Draws a seal; a window is sealed repeatedly with the same figures. */
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
    const windowId = `nl-1/${window}`;
    if ((this.#figuresByWindow.get(windowId) ?? text) !== text) {
      this.#run.report(`Figures of window ${windowId} changed`);
    }
    this.#figuresByWindow.set(windowId, text);
    return {
      type: "sealUsage",
      dataCentre: "nl-1",
      sealed: { window, figures },
    };
  }

  #repairMembership(): void {
    for (const leader of this.#processes) {
      if (!leader.isActive || !leader.isLeader) continue;
      leader.run(() => {
        const { node } = leader;
        if (node === undefined) return;
        const present = this.#processes
          .filter((p) => p.node !== undefined)
          .filter((p) => this.#network.isConnected(leader.id, p.id))
          .map((p) => p.replica);
        const next = nextMembers({
          members: node.members,
          present,
          wantedVoters: this.#options.size,
          isCaughtUp: (replica) => node.isCaughtUp(replica, leader.now),
        });
        if (next === undefined) return;
        const proposed = node.proposeMembers(next, leader.now);
        const isPromotion = next.voters.length > node.members.voters.length;
        if (proposed !== undefined && isPromotion) {
          this.#voterAddedAt = this.#scheduler.now;
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
      const leadership = leadershipOf(process);
      const openOrders = process.state.openOrders.slice(0, 20);
      for (
        const send of process.sender.due(openOrders, leadership, process.now)
      ) {
        this.#sendOrder(process, send);
      }
    });
  }

  #checkLeases(): void {
    const holders = this.#processes
      .filter((p) => p.node?.hasLease(p.now) ?? false)
      .map((p) => p.replica);
    if (holders.length > 1) {
      this.#run.report(`${holders.join(" and ")} hold leases at once`);
    }
  }

  /** Sends an order; it arrives within its timeout or not at all. */
  #sendOrder(process: ControlProcess, send: OrderSend): void {
    const delay = this.#scheduler.between(1, MAX_SEND_MS * 1.2);
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
    const latest = this.#receivedOrders.at(-1);
    if (latest !== undefined && term < latest.term) {
      this.#run.report(
        `The platform got an order from ${process.replica} in term ${term} ` +
          `after one from ${latest.process} in term ${latest.term}`,
      );
    }
    for (const other of this.#processes) {
      if (other === process || other.node === undefined) continue;
      const leadership = leadershipOf(other);
      const isInCharge = leadership.term !== undefined &&
        leadership.term > term && other.now >= other.sender.sendsFrom &&
        other.now < leadership.leaseEnd;
      if (!isInCharge) continue;
      this.#run.report(
        `${other.replica} is in charge while ${process.replica} sends orders`,
      );
    }
    this.#receivedOrders.push({ process: process.replica, term, at: now });
  }

  #injectFault(fault: ScheduledFault, heal: Heal): void {
    const index = Math.floor(fault.pick * this.#processes.length);
    const victim = this.#processes[index];
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
      partition: () => this.#isolate(victim, { isBoth: true, heal }),
      asymmetricPartition: () => {
        const leader = this.#processes.find((p) => p.isLeader) ?? victim;
        if (fault.forMs % 2 === 0) {
          this.#isolate(victim, { isBoth: false, heal });
        } else this.#partitionPair(leader, victim, heal);
      },
      diskLoss: () => this.#loseDisk(victim, heal),
      secondDiskLoss: () => this.#loseSecondDisk(victim, heal),
      electionCrash: () => {
        this.#healElectionCrash = heal;
        this.#processes.find((p) => p.isLeader)?.crash();
        heal(() => this.#processes.forEach((p) => p.start()));
      },
      handover: () => {
        const leader = this.#processes.find((p) => p.isLeader && p.isActive);
        leader?.run(() => leader.node?.transferLeadership(leader.now));
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

  #partitionPair(
    from: ControlProcess,
    to: ControlProcess,
    heal: Heal,
  ): void {
    this.#network.cut(from.id, to.id);
    this.#network.cut(to.id, from.id);
    heal(() => {
      this.#network.heal(from.id, to.id);
      this.#network.heal(to.id, from.id);
    });
  }

  #isolate(
    victim: ControlProcess,
    options: { isBoth: boolean; heal: Heal },
  ): void {
    const ids = this.#processes.map(({ id }) => id);
    this.#run.isolate(victim.id, ids, options);
  }

  /** Removes a disk, unless too few voters for a quorum keep theirs. */
  #loseDisk(victim: ControlProcess, heal: Heal): void {
    const settled = this.#processes.find((p) => p.node?.hasCommittedOwnTerm);
    const node = settled?.node;
    if (node === undefined || settled === undefined) return;
    const { voters } = node.members;
    const intactVoters = voters.filter((id) =>
      this.#processOf(id)?.replica === id && id !== victim.replica
    );
    const isVoter = voters.includes(victim.replica);
    const quorum = Math.floor(voters.length / 2) + 1;
    if (isVoter && intactVoters.length < quorum) return;
    this.#run.countFault("disk lost");
    victim.loseDisk();
    heal(() => victim.start());
  }

  /** Removes a disk, and another one as soon as a voter has been added. */
  #loseSecondDisk(
    victim: ControlProcess,
    heal: Heal,
  ): void {
    this.#loseDisk(victim, (run) => this.#scheduler.after(50, run));
    const loseOnceRepaired = (attempts: number) => {
      this.#scheduler.after(25, () => {
        const isRepaired = this.#scheduler.now - this.#voterAddedAt <= 25;
        if (!isRepaired && attempts > 0) return loseOnceRepaired(attempts - 1);
        const others = this.#processes.filter((p) => p !== victim);
        this.#loseDisk(this.#scheduler.pick(others), heal);
      });
    };
    loseOnceRepaired(400);
  }
}

function leadershipOf(process: ControlProcess): LeadershipStatus {
  const { node } = process;
  if (node === undefined || !process.isLeader) {
    return { term: undefined, leaseEnd: -Infinity };
  }
  return { term: node.term, leaseEnd: node.leaseEnd(process.now) };
}

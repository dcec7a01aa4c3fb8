/** A control instance: policy, targets, duties of the leader. */
import type { ServiceDemand } from "../../core/batches/mod.ts";
import type { ElapsedClock } from "../../core/clock/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import type { PolicyDocument } from "../../core/policy/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { BatchMethod, DEMAND_METHOD, FORM_METHOD } from "../batches/mod.ts";
import { CapacityDuty } from "./capacity_duty.ts";
import { DutyLease } from "./duty_lease.ts";
import { FleetControl } from "./fleet_control.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { OrderPort, ReceiverPort } from "./order_port.ts";
import { UsageDuty } from "./usage_duty.ts";
import { WeightsDuty } from "./weights_duty.ts";

/** Options of {@link ControlTask}. */
export interface ControlTaskOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  readonly clock: ElapsedClock;
  readonly orders: OrderPort;
  /** Receiver of usage; undefined where there is none. */
  readonly receiver: ReceiverPort | undefined;
}

/** Name of the duty to report usage, in the settings. */
const USAGE_DUTY = "usage";
/** Name of the duty to order targets, in the settings. */
const CAPACITY_DUTY = "autoscale";
const FORM_INTERVAL_MS = 300;
/** Ledger instances for which the first leader waits. */
const FORM_WAIT_MS = 2_000;
const FORM_TIMEOUT_MS = 1_500;
const ASK_TIMEOUT_MS = 800;

/** Owns what one control instance does. */
export class ControlTask {
  readonly #options: ControlTaskOptions;
  readonly #control: FleetControl;
  readonly #weights: WeightsDuty;
  readonly #usage: UsageDuty | undefined;
  readonly #capacity: CapacityDuty | undefined;
  #formTimer: NodeJS.Timeout | undefined;

  /** Creates the task; it does not run yet. */
  constructor(options: ControlTaskOptions) {
    this.#options = options;
    const { node, dataFolder, clock } = options;
    this.#control = new FleetControl({
      node,
      dataFolder,
      now: () => clock.now(),
      onRole: (isLeader) => this.#onRole(isLeader),
      onChanged: () => this.#weights.check(),
    });
    const lease = this.#createLease();
    this.#weights = this.#createWeights(lease);
    this.#usage = this.#createUsage(lease);
    this.#capacity = this.#createCapacity(lease);
    node.hub.handle(DEMAND_METHOD, (params) => {
      this.#capacity?.observe(params as ServiceDemand);
      return true;
    });
  }

  /** Gets the replica's identity. */
  get replica(): string | undefined {
    return this.#control.replica;
  }

  /** Gets the term that this replica leads. */
  get leadsTerm(): number | undefined {
    return this.#control.leadsTerm;
  }

  /** Gets the revision of the policy that has been applied here. */
  get policyRevision(): number {
    return this.#control.state.policyRevision;
  }

  /** Opens the store and runs. */
  async start(): Promise<void> {
    await this.#control.start();
    this.#formTimer = setInterval(
      () => this.#formLedger(),
      FORM_INTERVAL_MS,
    );
  }

  /** Hands the lead over and stops. */
  async stop(): Promise<void> {
    clearInterval(this.#formTimer);
    this.#onRole(false);
    await this.#control.stop();
  }

  /** Takes in a report of a target. */
  report(report: TargetReport): void {
    this.#control.report(report);
  }

  /** Records that a target has left. */
  removeTarget(id: string, incarnation: number | undefined): void {
    this.#control.removeTarget(id, incarnation);
  }

  /** Puts a policy into force. */
  replacePolicy(document: PolicyDocument, source: string): Promise<void> {
    return this.#control.replacePolicy(document, source);
  }

  /** Reads the newest policy as it was sent. */
  readPolicy(): Promise<string | undefined> {
    return this.#control.readPolicy();
  }

  /** Records the newest version of a model. */
  async nameWeights(model: string, version: number): Promise<void> {
    await this.#control.propose({ type: "announceWeights", model, version });
  }

  /**
   * Begins to empty an instance.
   * @throws RefusalError where it is unknown, or too few would be left.
   */
  async retire(name: string): Promise<void> {
    const { node } = this.#options;
    if (this.#control.state.retiring.has(name)) return;
    const ledgers = node.present(FleetRole.Ledger);
    if (!ledgers.some(({ member }) => member.name === name)) {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
        message: `No instance ${name} holds data`,
      });
    }
    const { retiring } = this.#control.state;
    const left = ledgers.filter(({ member }) =>
      member.name !== name && !retiring.has(member.name)
    );
    if (left.length < 2 * node.settings.tolerance + 1) {
      throw new RefusalError(
        RefusalReason.ConfigurationConflict,
        Verdict.NotRun,
        { message: "Too few instances would be left" },
      );
    }
    await this.#control.propose({ type: "retire", name });
    node.logger.event("instanceRetiring", { instance: name });
  }

  /**
   * Gets whether an instance holds no data any more.
   * @throws RefusalError where that cannot be said.
   */
  async isEmptied(name: string): Promise<boolean> {
    const { node } = this.#options;
    const { retiring } = this.#control.state;
    if (!retiring.has(name)) {
      throw new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
        message: `${name} is not being emptied`,
      });
    }
    if (retiring.get(name) === true) return true;
    const holders = await node.askLeader(
      FleetRole.Ledger,
      BatchMethod.Holders,
      { params: {}, timeoutMs: ASK_TIMEOUT_MS },
    ) as readonly string[];
    const member = node.present(FleetRole.Ledger)
      .find((ledger) => ledger.member.name === name);
    if (member === undefined || holders.includes(member.id)) return false;
    await this.#control.propose({ type: "retired", name });
    node.logger.event("instanceRetired", { instance: name });
    return true;
  }

  /** Records why a call was refused. */
  onRefused(path: string, refusal: RefusalError): void {
    this.#options.node.metrics.count(`refusals.${refusal.reason}`);
    this.#options.node.logger.event("callRefused", {
      request: path,
      reason: refusal.reason,
      verdict: refusal.verdict,
      detail: refusal.message,
      revision: this.policyRevision,
    });
  }

  #createLease(): DutyLease {
    const { node, clock } = this.#options;
    return new DutyLease({
      holder: node.settings.name,
      term: () => this.#control.leadsTerm,
      leaseEnd: () => this.#control.leaseEnd,
      leaderSince: () => this.#control.leaderSince,
      now: () => clock.now(),
    });
  }

  #createWeights(lease: DutyLease): WeightsDuty {
    const { node, orders, clock } = this.#options;
    const control = this.#control;
    return new WeightsDuty({
      lease,
      orders,
      registry: control.registry,
      logger: node.logger,
      metrics: node.metrics,
      now: () => clock.now(),
      policy: () => control.state.policy,
      newest: () => control.state.weights,
      reportIntervalMs: node.settings.times.reportIntervalMs,
      onLoading: (loading) => control.tellLoading(loading),
      onLoaded: (loaded) => control.learnVersion(loaded),
    });
  }

  #createUsage(lease: DutyLease): UsageDuty | undefined {
    const { node, receiver } = this.#options;
    if (
      receiver === undefined ||
      !node.settings.receiver?.duties.includes(USAGE_DUTY)
    ) {
      return undefined;
    }
    const control = this.#control;
    const { usageWindowMs, usageDueMs } = node.settings.times;
    return new UsageDuty({
      lease,
      receiver,
      book: control.usage,
      state: () => control.state,
      propose: (command) => control.propose(command),
      logger: node.logger,
      windowMs: usageWindowMs,
      dueMs: usageDueMs,
      wall: () => Date.now(),
    });
  }

  #createCapacity(lease: DutyLease): CapacityDuty | undefined {
    const { node, receiver, clock } = this.#options;
    const isAsked = node.settings.receiver?.duties.includes(CAPACITY_DUTY);
    if (receiver === undefined || isAsked !== true) return undefined;
    const control = this.#control;
    return new CapacityDuty({
      lease,
      receiver,
      registry: control.registry,
      logger: node.logger,
      policy: () => control.state.policy,
      now: () => clock.now(),
    });
  }

  #onRole(isLeader: boolean): void {
    if (isLeader) {
      this.#weights.start();
      this.#usage?.start();
      this.#capacity?.start();
      return;
    }
    this.#weights.stop();
    this.#usage?.stop();
    this.#capacity?.stop();
  }

  /** The first members of the ledger are fixed once, by the control log. */
  #formLedger(): void {
    const { node, clock } = this.#options;
    if (this.#control.leadsTerm === undefined) return;
    const { ledgerVoters } = this.#control.state;
    if (ledgerVoters.length > 0) {
      this.#tellFormed(ledgerVoters);
      return;
    }
    const replicas = node.present(FleetRole.Ledger)
      .filter(({ member }) => member.replica !== undefined)
      .sort((a, b) => a.member.dataCentre < b.member.dataCentre ? -1 : 1);
    const wanted = 2 * node.settings.tolerance + 1;
    const waitedMs = clock.now() - this.#control.leaderSince;
    if (replicas.length === 0) return;
    if (replicas.length < wanted && waitedMs < FORM_WAIT_MS) return;
    const voters = spread(replicas.map(({ member }) => member), wanted);
    node.logger.event("ledgerFormed", { voters });
    this.#control.propose({ type: "formLedger", voters })
      .catch((err) => node.logger.error(err));
  }

  #tellFormed(voters: readonly string[]): void {
    const { node } = this.#options;
    if (node.leaderOf(FleetRole.Ledger) !== undefined) return;
    for (const { id, member } of node.present(FleetRole.Ledger)) {
      if (member.replica === undefined) continue;
      if (!voters.includes(member.replica)) continue;
      node.hub.request(id, FORM_METHOD, {
        params: voters,
        timeoutMs: FORM_TIMEOUT_MS,
      }).catch((err) =>
        node.logger.event("policyUnconfirmed", {
          reason: (err as Error).message,
        })
      );
    }
  }
}

interface Candidate {
  readonly dataCentre: string;
  readonly replica: string | undefined;
}

/** Takes candidates from as many data centres as there are, in turn. */
function spread(candidates: readonly Candidate[], wanted: number): string[] {
  const left = [...candidates];
  const taken: string[] = [];
  const used = new Map<string, number>();
  while (taken.length < wanted && left.length > 0) {
    left.sort((a, b) =>
      (used.get(a.dataCentre) ?? 0) - (used.get(b.dataCentre) ?? 0)
    );
    const next = left.shift()!;
    used.set(next.dataCentre, (used.get(next.dataCentre) ?? 0) + 1);
    if (next.replica !== undefined) taken.push(next.replica);
  }
  if (taken.length % 2 === 0 && taken.length > 1) taken.pop();
  return taken;
}

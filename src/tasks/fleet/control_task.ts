/** A control instance: policy, target registry and the leader's tasks. */
import type { ElapsedClock } from "../../core/clock/mod.ts";
import { type PolicyDocument, RegionMap } from "../../core/policy/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { serviceDemandSchema } from "../../schemas/mod.ts";
import { DEMAND_METHOD } from "../batches/mod.ts";
import { decodeRequest } from "../peers/mod.ts";
import { CapacityScaler } from "./capacity_scaler.ts";
import { OrderLease } from "./order_lease.ts";
import type { EvacuationService } from "./evacuation_service.ts";
import { FleetControl } from "./fleet_control.ts";
import { LedgerFormation } from "./ledger_formation.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { OrderPort, ReceiverPort } from "./order_port.ts";
import { RetirementService } from "./retirement_service.ts";
import { RefusedInputs } from "../refused_inputs.ts";
import { UsageReporter } from "./usage_reporter.ts";
import { WeightsRollout } from "./weights_rollout.ts";

/** Options of {@link ControlTask}. */
export interface ControlTaskOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  readonly clock: ElapsedClock;
  readonly orders: OrderPort;
  /** Receiver of usage reports and capacity orders, if one is configured. */
  readonly receiver: ReceiverPort | undefined;
}

/** Value of the receiver's `duties` setting that enables usage reports. */
const USAGE_DUTY = "usage";
/** Value of the receiver's `duties` setting that enables autoscaling. */
const CAPACITY_DUTY = "autoscale";
const FORM_INTERVAL_MS = 300;

/** Runs one control instance. */
export class ControlTask {
  readonly #options: ControlTaskOptions;
  readonly #control: FleetControl;
  readonly #rollout: WeightsRollout;
  readonly #usageReporter: UsageReporter | undefined;
  readonly #scaler: CapacityScaler | undefined;
  readonly #formation: LedgerFormation;
  readonly #retirements: RetirementService;
  readonly #refusedReports: RefusedInputs;
  #formTimer: NodeJS.Timeout | undefined;

  constructor(options: ControlTaskOptions) {
    this.#options = options;
    const { node, dataFolder, clock } = options;
    this.#refusedReports = new RefusedInputs({
      logger: node.logger,
      metrics: node.metrics,
      event: "targetReportRefused",
      metric: "targets.refusedReports",
    });
    this.#control = new FleetControl({
      node,
      dataFolder,
      now: () => clock.now(),
      onRole: (isLeader) => this.#onRole(isLeader),
      onChanged: () => this.#rollout.check(),
    });
    this.#formation = new LedgerFormation({
      node,
      control: this.#control,
      now: () => clock.now(),
    });
    this.#retirements = new RetirementService({ node, control: this.#control });
    const lease = this.#createLease();
    this.#rollout = this.#createRollout(lease);
    this.#usageReporter = this.#createReporter(lease);
    this.#scaler = this.#createScaler(lease);
    node.hub.handle(DEMAND_METHOD, (params) => {
      this.#scaler?.observe(decodeRequest(serviceDemandSchema, params));
      return true;
    });
  }

  /** Gets the ID of the log replica; undefined before it is open. */
  get replica(): string | undefined {
    return this.#control.replica;
  }

  /** Gets the term that this replica leads; undefined unless it leads. */
  get leadsTerm(): number | undefined {
    return this.#control.leadsTerm;
  }

  /** Gets the revision of the policy that this replica has applied. */
  get policyRevision(): number {
    return this.#control.state.policyRevision;
  }

  /** Receives the operators' orders to evacuate data centres. */
  get evacuations(): EvacuationService {
    return this.#control.evacuations;
  }

  /** Opens the log store, joins the log and starts the timers. */
  async start(): Promise<void> {
    await this.#control.start();
    this.#formTimer = setInterval(
      () => this.#formation.run(),
      FORM_INTERVAL_MS,
    );
  }

  /** Stops the leader's tasks, transfers leadership and closes the log. */
  async stop(): Promise<void> {
    clearInterval(this.#formTimer);
    this.#onRole(false);
    await this.#control.stop();
  }

  /** Counts a target's report that is malformed, and logs it once. */
  refuseReport(id: string, reason: string): void {
    this.#refusedReports.record(id, reason);
  }

  /**
   * Merges a target's report into the registry and forwards it.
   * @throws RefusalError if the target leaves and that is not recorded in time.
   */
  reportTarget(report: TargetReport): Promise<void> {
    return this.#control.reports.report(report);
  }

  /**
   * Removes a target that has deregistered.
   * @param incarnation - Incarnation that leaves; undefined for any.
   * @throws RefusalError if the target is not known here and names no
   *     incarnation, or if its departure is not recorded in time.
   */
  removeTarget(id: string, incarnation: number | undefined): Promise<void> {
    return this.#control.reports.remove(id, incarnation);
  }

  /**
   * Proposes a policy.
   * @throws RefusalError if the document is invalid, names an unknown region or
   * is not committed in time.
   */
  async replacePolicy(document: PolicyDocument, source: string): Promise<void> {
    const { node } = this.#options;
    const faults = new RegionMap(node.settings.regions).findFaults(document);
    if (faults.length > 0) {
      const { revision } = document;
      node.logger.event("policyRefused", { revision, faults });
      throw new RefusalError(RefusalReason.MalformedRequest, Verdict.NotRun, {
        message: faults.join("; "),
      });
    }
    await this.#control.replacePolicy(document, source);
  }

  /** Reads the source text of the committed policy from the leader. */
  readPolicy(): Promise<string | undefined> {
    return this.#control.readPolicy();
  }

  /** Proposes a model's newest weight version. */
  async announceWeights(model: string, version: number): Promise<void> {
    await this.#control.propose({ type: "announceWeights", model, version });
  }

  /**
   * Starts to move the data off a ledger instance.
   * @throws RefusalError if the instance is unknown or cannot be spared.
   */
  retire(name: string): Promise<void> {
    return this.#retirements.begin(name);
  }

  /**
   * Checks whether a retiring instance holds no data, and then records it as
   * retired.
   * @throws RefusalError if the instance is not retiring, or if the ledger's
   *     leader does not answer.
   */
  checkRetired(name: string): Promise<boolean> {
    return this.#retirements.check(name);
  }

  /** Counts and logs the refusal of a call. */
  logRefusal(path: string, refusal: RefusalError): void {
    this.#options.node.metrics.count(`refusals.${refusal.reason}`);
    this.#options.node.logger.event("callRefused", {
      request: path,
      reason: refusal.reason,
      verdict: refusal.verdict,
      detail: refusal.message,
      revision: this.policyRevision,
    });
  }

  #createLease(): OrderLease {
    const { node, clock } = this.#options;
    const { orders, isFirstStart } = node.settings;
    return new OrderLease({
      holder: node.settings.name,
      term: () => this.#control.leadsTerm,
      leaseEnd: () => this.#control.leaseEnd,
      leaderSince: () => this.#control.leaderSince,
      now: () => clock.now(),
      returnDelayMs: orders.areFencesChecked ? 0 : orders.leaseMs,
      hasPredecessor: !isFirstStart,
    });
  }

  #createRollout(lease: OrderLease): WeightsRollout {
    const { node, orders, clock } = this.#options;
    const control = this.#control;
    return new WeightsRollout({
      lease,
      orders,
      registry: control.targets.registry,
      logger: node.logger,
      metrics: node.metrics,
      now: () => clock.now(),
      policy: () => control.state.policy,
      newestVersions: () => control.state.weights,
      reportIntervalMs: node.settings.times.reportIntervalMs,
      onTargetLeaving: ({ id, incarnation }) =>
        control.targets.markLeaving(id, incarnation),
      onLoading: (loading) => control.targets.publishLoading(loading),
      onLoaded: (loaded) => control.targets.publishLoaded(loaded),
    });
  }

  #createReporter(lease: OrderLease): UsageReporter | undefined {
    const { node, receiver } = this.#options;
    if (
      receiver === undefined ||
      !node.settings.receiver?.duties.includes(USAGE_DUTY)
    ) {
      return undefined;
    }
    const control = this.#control;
    const { usageWindowMs, usageDueMs } = node.settings.times;
    return new UsageReporter({
      lease,
      receiver,
      usage: control.usageTotals,
      state: () => control.state,
      propose: (command) => control.propose(command),
      logger: node.logger,
      windowMs: usageWindowMs,
      dueMs: usageDueMs,
      wallClock: () => Date.now(),
    });
  }

  #createScaler(lease: OrderLease): CapacityScaler | undefined {
    const { node, receiver, clock } = this.#options;
    const isEnabled = node.settings.receiver?.duties.includes(CAPACITY_DUTY);
    if (receiver === undefined || isEnabled !== true) return undefined;
    const control = this.#control;
    return new CapacityScaler({
      lease,
      receiver,
      registry: control.targets.registry,
      logger: node.logger,
      policy: () => control.state.policy,
      now: () => clock.now(),
    });
  }

  #onRole(isLeader: boolean): void {
    if (isLeader) {
      this.#rollout.start();
      this.#usageReporter?.start();
      this.#scaler?.start();
      return;
    }
    this.#rollout.stop();
    this.#usageReporter?.stop();
    this.#scaler?.stop();
  }
}

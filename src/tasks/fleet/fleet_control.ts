/** The replicated control log of a control instance. */
import type { UsageTotals } from "../../core/calls/mod.ts";
import {
  type FleetCommand,
  type FleetCommandResult,
  FleetRole,
  type FleetSnapshot,
  FleetState,
} from "../../core/fleet/mod.ts";
import type { PolicyDocument } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { LogStore } from "../log/mod.ts";
import { ControlRequests } from "./control_requests.ts";
import { EvacuationService } from "./evacuation_service.ts";
import type { FleetNode } from "./fleet_node.ts";
import { serveRelays } from "./relay_directory.ts";
import { FleetPublisher } from "./fleet_publisher.ts";
import {
  createFleetLogService,
  FLEET_LOG,
  type FleetLogService,
} from "./fleet_log_service.ts";
import { PermitService } from "./permit_service.ts";
import { StreamService } from "./stream_service.ts";
import { TargetDirectory } from "./target_directory.ts";
import { TargetReports } from "./target_reports.ts";
import { TrialService } from "./trial_service.ts";

/** Options of {@link FleetControl}. */
export interface FleetControlOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  /**
   * Gets monotonic time in milliseconds, which includes time in which the
   * machine was suspended.
   */
  readonly now: () => number;
  /** Called when this replica gains or loses leadership. */
  readonly onRole: (isLeader: boolean) => void;
  /** Called when the applied state or a target has changed. */
  readonly onChanged: () => void;
}

const MAINTENANCE_INTERVAL_MS = 200;

/** Owns a replica of the control log and the directory of targets. */
export class FleetControl {
  /** Targets that have registered with this or another control instance. */
  readonly targets: TargetDirectory;
  /** Receives what targets say of themselves. */
  readonly reports: TargetReports;
  /** Receives the operators' orders to evacuate data centres. */
  readonly evacuations: EvacuationService;
  readonly #options: FleetControlOptions;
  readonly #service: FleetLogService;
  readonly #requests: ControlRequests;
  readonly #publisher: FleetPublisher;
  readonly #permits: PermitService;
  /** Policy whose services the registry has. */
  #servicesOf: PolicyDocument | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: FleetControlOptions) {
    this.#options = options;
    this.#service = this.#createService();
    const { node } = options;
    this.#requests = new ControlRequests({ node, service: this.#service });
    const registry = new TargetRegistry();
    this.#publisher = new FleetPublisher({
      node,
      registry,
      state: () => this.state,
      leadsTerm: () => this.leadsTerm,
      now: options.now,
    });
    this.evacuations = new EvacuationService({
      node,
      registry,
      publisher: this.#publisher,
      state: () => this.state,
      now: options.now,
      propose: (command) => this.propose(command),
    });
    node
      .onLog(FLEET_LOG, (message) => this.#service.receive(message as never));
    serveRelays(node, () => this.state.policy);
    new StreamService(node);
    const leading = {
      node,
      leadsTerm: () => this.leadsTerm,
      now: options.now,
    };
    this.#permits = new PermitService({
      ...leading,
      leaseEnd: () => this.leaseEnd,
      registry,
      policy: () => this.state.policy,
    });
    new TrialService({ ...leading, registry, state: () => this.state });
    this.targets = new TargetDirectory({
      node,
      registry,
      publisher: this.#publisher,
      now: options.now,
      onChanged: options.onChanged,
    });
    this.reports = new TargetReports({
      directory: this.targets,
      publisher: this.#publisher,
      logger: node.logger,
      state: () => this.state,
      applied: () => this.#service.applied,
      readPosition: () => this.#requests.readPosition(),
      hasLeader: () => node.leaderOf(FleetRole.Control) !== undefined,
      propose: (command) => this.propose(command),
      wallNow: () => Date.now(),
    });
    node.onNotice = (notice) => this.targets.onNotice(notice);
    node.hub.onReplicaPresent(() => this.#service.driver.checkMembers());
  }

  /** Gets the state that this replica has applied; it may lag the leader's. */
  get state(): FleetState {
    return this.#service.state;
  }

  /** Gets the ID of the log replica; undefined before it is open. */
  get replica(): string | undefined {
    return this.#service.driver.replica;
  }

  /** Gets the term that this replica leads; undefined unless it leads. */
  get leadsTerm(): number | undefined {
    return this.#service.leadsTerm;
  }

  /** Gets the time at which this replica became leader. */
  get leaderSince(): number {
    return this.#service.driver.leaderSince;
  }

  /**
   * Gets the end of the leader's lease, on the clock of the options. No other
   * replica can be elected before it. It is -Infinity without a lease.
   */
  get leaseEnd(): number {
    const { now } = this.#options;
    return this.#service.driver.node?.leaseEnd(now()) ?? -Infinity;
  }

  /** Opens the log store and joins the log; a seed's first start creates it. */
  async start(): Promise<void> {
    const { node, dataFolder } = this.#options;
    const { id, seeds, isFirstStart } = node.settings;
    const { driver } = this.#service;
    if (isFirstStart && seeds.includes(id)) {
      await driver.retryStore(() =>
        LogStore.create<FleetCommand, FleetSnapshot>({
          dataFolder,
          name: FLEET_LOG,
          emptyState: new FleetState().save(),
          instances: seeds,
        })
      );
    }
    await driver.start();
    node.hub.announce();
    this.reports.start();
    this.#timer = setInterval(() => this.#maintain(), MAINTENANCE_INTERVAL_MS);
  }

  /** Transfers leadership and closes the log. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.reports.stop();
    await this.#service.stop();
  }

  /** Gets the started requests, as reported by the entry instances. */
  get usageTotals(): UsageTotals {
    return this.#requests.usageTotals;
  }

  /**
   * Proposes a policy; a revision that is not newer has no effect.
   * @throws RefusalError that lists every fault if the document is invalid.
   */
  async replacePolicy(document: PolicyDocument, source: string): Promise<void> {
    await this.#requests.replacePolicy(document, source);
  }

  /** Reads the committed policy's source text; undefined if there is none. */
  async readPolicy(): Promise<string | undefined> {
    return await this.#requests.readPolicy();
  }

  /**
   * Proposes a command, through the leader if this replica does not lead.
   * @throws RefusalError if it is not committed in time; it may still be.
   */
  async propose(command: FleetCommand): Promise<FleetCommandResult> {
    return await this.#requests.propose(command);
  }

  #createService(): FleetLogService {
    const { node, dataFolder, now } = this.#options;
    return createFleetLogService({
      node,
      dataFolder,
      now,
      presentReplicas: () => this.#presentReplicas(),
      onApplied: (command, result) => this.#onApplied(command, result),
      onRestored: () => {
        this.reports.onRestored();
        this.#onStateChanged();
      },
      onRole: (isLeader) => {
        this.#options.onRole(isLeader);
        node.hub.announce();
      },
    });
  }

  #presentReplicas(): string[] {
    const others = this.#options.node.linkedMembers(FleetRole.Control)
      .map(({ member }) => member.replica);
    return [this.replica, ...others].filter((id) => id !== undefined);
  }

  #onApplied(command: FleetCommand, result: FleetCommandResult): void {
    if (command.type === "replacePolicy") {
      const { revision } = command.document;
      const isNew = result.type === "done";
      this.#options.node.logger.event("policyAccepted", { revision, isNew });
      if (isNew) this.#publisher.schedulePolicy();
    }
    if (command.type === "announceWeights" && result.type === "done") {
      const { model, version } = command;
      this.#options.node.logger.event("weightsNamed", { model, version });
    }
    if (result.type === "done") this.#publisher.publishSuspicions(command);
    this.reports.onApplied(command);
    this.#onStateChanged();
  }

  #onStateChanged(): void {
    this.#updateServices();
    this.evacuations.onStateChanged();
    this.#options.onChanged();
  }

  #updateServices(): void {
    const { policy } = this.state;
    if (policy === undefined || policy === this.#servicesOf) return;
    this.#servicesOf = policy;
    const names = policy.services.map(({ name }) => name);
    this.targets.registry.setServices(names, this.#options.now());
  }

  #maintain(): void {
    const { node, now } = this.#options;
    this.targets.registry.prune(now());
    this.#service.updateGauges();
    node.metrics.gauge("policy.revision", this.state.policyRevision);
    this.#permits.checkColdTargets();
    this.#publisher.resendMissing();
  }
}

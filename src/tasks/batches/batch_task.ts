/** The batch ledger of an instance with persistent storage. */
import { getHeapStatistics } from "node:v8";
import {
  type BatchRecord,
  diskRoomOf,
  expiryOf,
  roomOf,
} from "../../core/batches/mod.ts";
import { instanceOf, type ReplicaId } from "../../core/consensus/mod.ts";
import { RegionMap } from "../../core/policy/mod.ts";
import {
  type LoadedVersion,
  TargetRegistry,
  type TargetReport,
  type TargetSigns,
} from "../../core/registry/mod.ts";
import { createLogOptions } from "../fleet/fleet_log.ts";
import type { FleetNode } from "../fleet/fleet_node.ts";
import { createLimiter } from "../fleet/target_limiter.ts";
import { LogService } from "../log/mod.ts";
import {
  BatchMethod,
  type BatchParams,
  type BodyParams,
  type ReadParams,
  type SubmitParams,
} from "./batch_port.ts";
import {
  BatchIntake,
  CONFIRM_TIMEOUT_MS,
  type LedgerService,
} from "./batch_intake.ts";
import { BatchRunner } from "./batch_runner.ts";
import { reportDemands } from "./demand_reporter.ts";
import { LEDGER_LOG_OPTIONS, MAX_UNMOVED_BYTES } from "./ledger_log_options.ts";
import { LedgerMembership } from "./ledger_membership.ts";
import { LedgerObserver } from "./ledger_observer.ts";
import { LedgerTexts } from "./ledger_texts.ts";
import { MemoryGate } from "./memory_gate.ts";
import { PaceKeeper } from "./pace_keeper.ts";
import { ResultQueue } from "./result_queue.ts";
import { ResultReader } from "./result_reader.ts";
import type { EnginePort } from "./engine_port.ts";
import type { ScoringPort } from "./item_scorer.ts";
import type { TextName } from "./text_exchange.ts";

/** Options of {@link BatchTask}. */
export interface BatchTaskOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  readonly engines: EnginePort;
  /**
   * Gets the monotonic time including suspension of the machine, in
   * milliseconds.
   */
  readonly now: () => number;
  readonly scoring: ScoringPort;
  /** Called with what a target says of itself. */
  readonly onSigns: (target: TargetReport, signs: TargetSigns) => void;
}

/** Name of the replicated log and of its data folder. */
export const BATCH_LOG = "batches";
/** Forms the initial group of the log from a list of replicas. */
export const FORM_METHOD = "batches.form";

const MAINTENANCE_INTERVAL_MS = 1_000;
/** Time for another replica to answer with texts. */
const TEXTS_TIMEOUT_MS = 1_000;
const MB_BYTES = 1_000_000;

/**
 * Owns the instance's replica of the batch ledger, and runs the items while
 * that replica leads.
 */
export class BatchTask {
  /** Targets, as published by the control instances. */
  readonly registry: TargetRegistry;
  readonly #options: BatchTaskOptions;
  readonly #service: LedgerService;
  readonly #runner: BatchRunner;
  readonly #paces: PaceKeeper;
  readonly #reader: ResultReader;
  readonly #membership: LedgerMembership;
  readonly #results: ResultQueue;
  readonly #intake: BatchIntake;
  readonly #memoryGate: MemoryGate;
  readonly #observer: LedgerObserver;
  readonly #texts: LedgerTexts;
  #maintenanceTimer: NodeJS.Timeout | undefined;

  /**
   * Creates the task and registers its peer methods; call {@link start} to run
   * it.
   */
  constructor(options: BatchTaskOptions) {
    this.#options = options;
    const { regions } = options.node.settings;
    this.registry = new TargetRegistry(new RegionMap(regions));
    this.#texts = this.#createTexts();
    this.#service = this.#createService();
    const { driver } = this.#service;
    this.#membership = new LedgerMembership({
      node: options.node,
      replica: () => this.replica,
      members: () => driver.node?.members,
    });
    this.#memoryGate = this.#createMemoryGate();
    this.#intake = new BatchIntake({
      service: this.#service,
      admission: () => this.#memoryGate,
    });
    this.#reader = new ResultReader({
      state: () => this.#service.state,
      readTexts: (batch, results) => this.#texts.read(batch, results),
      confirmLeadership: () => this.#confirmLeadership(),
    });
    const { logger, metrics } = options.node;
    this.#results = new ResultQueue({
      propose: (command) => this.#service.propose(command),
      onUnstored: (batch, item) => this.#runner.onResultStored(batch, item),
      logger,
    });
    this.#runner = this.#createRunner();
    this.#paces = new PaceKeeper({
      node: options.node,
      dataFolder: options.dataFolder,
      leadsTerm: () => this.leadsTerm,
      save: () => this.#runner.savePaces(),
      load: (known) => void this.#runner.loadPaces(known),
      now: options.now,
    });
    this.#observer = new LedgerObserver({
      state: () => this.#service.state,
      runner: this.#runner,
      reader: this.#reader,
      logger,
      metrics,
      isLeader: () => this.leadsTerm !== undefined,
    });
    options.node
      .onLog(BATCH_LOG, (message) => this.#service.receive(message as never));
    options.node.hub
      .onReplicaPresent(() => driver.checkMembers())
      .handle(
        FORM_METHOD,
        (params) =>
          this.#service.driver.bootstrapMembers(params as ReplicaId[]),
      )
      .handle(BatchMethod.Submit, (p) => this.#intake.submit(p as SubmitParams))
      .handle(BatchMethod.Read, (p) => this.#reader.read(p as ReadParams))
      .handle(
        BatchMethod.ReadStored,
        (p) => this.#reader.readStored(p as ReadParams),
      )
      .handle(BatchMethod.Body, (p) => this.#reader.readBody(p as BodyParams))
      .handle(BatchMethod.Texts, (p) => this.#texts.serve(p as TextName[]))
      .handle(BatchMethod.Holders, () => this.#holders())
      .handle(BatchMethod.End, (p) => this.#intake.end(p as BatchParams));
  }

  /** Gets the ID of the local replica; undefined before it is opened. */
  get replica(): ReplicaId | undefined {
    return this.#service.driver.replica;
  }

  /** Gets whether the local replica is a voter of the ledger's log. */
  get isVoter(): boolean {
    const { replica } = this;
    const voters = this.#service.driver.node?.committedMembers.voters ?? [];
    return replica !== undefined && voters.includes(replica);
  }

  /** Gets the term in which this replica leads; undefined if it does not. */
  get leadsTerm(): number | undefined {
    return this.#service.leadsTerm;
  }

  /** Opens the store and starts the replica. */
  async start(): Promise<void> {
    this.#paces.start();
    await this.#service.driver.start();
    this.#options.node.hub.announce();
    this.#maintenanceTimer = setInterval(() => {
      this.#removeExpired();
      this.#transferIfRetiring();
      this.#reportDemand();
      if (this.isVoter) this.#texts.backfill();
      this.#service.updateGauges();
      this.#memoryGate.updateGauges();
    }, MAINTENANCE_INTERVAL_MS);
  }

  /** Transfers leadership if held, and stops. */
  async stop(): Promise<void> {
    clearInterval(this.#maintenanceTimer);
    this.#paces.stop();
    this.#runner.stop();
    this.#texts.stop();
    await this.#service.stop();
  }

  /** Notifies the runner that the registry has changed. */
  onTargetsChanged(): void {
    this.#runner.onTargetsChanged();
  }

  /** Excludes a target from placement of a model while it loads its weights. */
  onLoadStarted(loading: LoadedVersion): void {
    this.#runner.onLoadStarted(loading);
  }

  #createService(): LedgerService {
    const { node, dataFolder, now } = this.#options;
    return new LogService({
      ...createLogOptions(node, BATCH_LOG),
      ...LEDGER_LOG_OPTIONS,
      dataFolder,
      openFiles: (folder, state) => this.#texts.open(folder, state),
      wantedVoters: () => this.#membership.wantedVoters,
      wantedLearners: 0,
      now,
      presentReplicas: () => this.#membership.presentReplicas,
      isLost: (replica) => this.#membership.isLost(instanceOf(replica)),
      isRetiring: (replica) => this.#membership.isRetiring(instanceOf(replica)),
      onApplied: (command) => this.#observer.onApplied(command),
      onRestored: () => this.#reader.wakeAll(),
      onRole: (isLeader) => this.#onRoleChanged(isLeader),
    });
  }

  #createTexts(): LedgerTexts {
    const { node, now } = this.#options;
    return new LedgerTexts({
      state: () => this.#service.state,
      sources: () => this.#membership.others,
      request: (instance, names) =>
        node.hub.request(instance, BatchMethod.Texts, {
          params: names,
          timeoutMs: TEXTS_TIMEOUT_MS,
        }),
      isPartial: () => this.#service.driver.isPartial,
      store: () => this.#service.driver.compact(),
      logger: node.logger,
      now,
    });
  }

  #createMemoryGate(): MemoryGate {
    const { logger, metrics, settings } = this.#options.node;
    const { diskMb, limits: { memoryMb } } = settings;
    return new MemoryGate({
      state: () => this.#service.state,
      admission: () => this.#runner.admission,
      room: {
        memoryBytes: roomOf({
          heapBytes: getHeapStatistics().heap_size_limit,
          machineBytes: toBytes(memoryMb),
        }),
        diskBytes: diskRoomOf(toBytes(diskMb)),
        maxUnmovedBytes: MAX_UNMOVED_BYTES,
      },
      keepResultsMs: settings.times.keepResultsMs,
      logger,
      metrics,
      wallNow: () => Date.now(),
    });
  }

  #createRunner(): BatchRunner {
    const { node, engines, scoring, now, onSigns } = this.#options;
    return new BatchRunner({
      state: () => this.#service.state,
      registry: this.registry,
      engines,
      logger: node.logger,
      metrics: node.metrics,
      dataCentre: node.settings.dataCentre,
      limiter: createLimiter({
        node,
        registry: this.registry,
        getService: (name) => scoring.policy()?.getService(name),
        now,
      }),
      now: () => performance.now(),
      canRunItems: () => this.#service.driver.isReady && this.#holdsLease,
      holdsLease: () => this.#holdsLease,
      scoring,
      onSigns,
      readTexts: (batch, results) => this.#texts.read(batch, results),
      storeCompleteText: (record) => this.#results.storeCompleteText(record),
      storeResult: (record) => this.#results.add(record),
      storePartialTexts: (records) => this.#results.storePartialTexts(records),
    });
  }

  get #holdsLease(): boolean {
    const { driver } = this.#service;
    return driver.hasAppliedEarlierTerms &&
      driver.node?.hasLease(this.#options.now()) === true;
  }

  /** Transfers leadership if this instance is retiring. */
  #transferIfRetiring(): void {
    if (this.leadsTerm === undefined) return;
    if (!this.#membership.isLocalRetiring) return;
    this.#service.driver.transferLeadership();
  }

  #reportDemand(): void {
    if (this.leadsTerm === undefined) return;
    reportDemands(this.#options.node, this.#runner.takeDemand());
  }

  /** Gets the instances that hold a replica of the ledger. */
  async #holders(): Promise<string[]> {
    await this.#confirmLeadership();
    return this.#membership.holders;
  }

  async #confirmLeadership(): Promise<void> {
    await this.#service.confirmLeadership(CONFIRM_TIMEOUT_MS);
  }

  #onRoleChanged(isLeader: boolean): void {
    this.#results.clear();
    if (isLeader) this.#runner.loadPaces(this.#paces.takeOver()).start();
    else this.#runner.stop();
    if (!isLeader) this.#reader.wakeAll();
    this.#options.node.hub.announce();
  }

  #removeExpired(): void {
    if (this.leadsTerm === undefined) return;
    const { keepResultsMs } = this.#options.node.settings.times;
    const wallNow = Date.now();
    const isExpired = (record: BatchRecord) =>
      wallNow > expiryOf(record, keepResultsMs);
    const batches = this.#service.state.all
      .filter(isExpired)
      .map((record) => record.spec.id);
    if (batches.length === 0) return;
    this.#service.propose({ type: "forget", batches })
      .catch((err) => this.#options.node.logger.error(err));
  }
}

function toBytes(mb: number | undefined): number | undefined {
  return mb === undefined ? undefined : mb * MB_BYTES;
}

/** The batch ledger of an instance with persistent storage. */
import {
  type BatchCommand,
  type BatchCommandResult,
  type BatchRecord,
  type BatchResult,
  BatchState,
  estimateCommandBytes,
  type LedgerSnapshot,
  type PartialTextRecord,
  type ResultRecord,
  ResultState,
} from "../../core/batches/mod.ts";
import {
  allMembers,
  instanceOf,
  type ReplicaId,
} from "../../core/consensus/mod.ts";
import { FleetRole, wantedVoters } from "../../core/fleet/mod.ts";
import {
  type LoadedVersion,
  TargetRegistry,
  type TargetReport,
  type TargetSigns,
} from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { createLogOptions } from "../fleet/fleet_log.ts";
import type { FleetNode } from "../fleet/fleet_node.ts";
import { createLimiter } from "../fleet/target_limiter.ts";
import { LogService } from "../log/mod.ts";
import {
  BatchMethod,
  type BatchParams,
  type BodyParams,
  DEMAND_METHOD,
  type ReadParams,
  type SubmitParams,
} from "./batch_port.ts";
import { BatchRunner } from "./batch_runner.ts";
import { createNotFoundError, ResultReader } from "./result_reader.ts";
import type { EnginePort } from "./engine_port.ts";
import type { ScoringPort } from "./item_scorer.ts";

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

const COMPACT_ENTRIES = 8_192;
const CONFIRM_TIMEOUT_MS = 800;
const DEMAND_TIMEOUT_MS = 800;
const MAINTENANCE_INTERVAL_MS = 1_000;
/** Time added to the retention period before results are deleted. */
const EXPIRY_SLACK_MS = 30_000;
/** Maximum number of results written by one log entry. */
const MAX_RESULTS_PER_ENTRY = 32;

type Service = LogService<
  BatchCommand,
  LedgerSnapshot,
  BatchCommandResult,
  BatchState
>;

/**
 * Owns the instance's replica of the batch ledger, and runs the items while
 * that replica leads.
 */
export class BatchTask {
  /** Targets, as published by the control instances. */
  readonly registry = new TargetRegistry();
  readonly #options: BatchTaskOptions;
  readonly #service: Service;
  readonly #runner: BatchRunner;
  readonly #reader: ResultReader;
  #pendingResults: ResultRecord[] = [];
  #isStoring = false;
  #maintenanceTimer: NodeJS.Timeout | undefined;

  /**
   * Creates the task and registers its peer methods; call {@link start} to run
   * it.
   */
  constructor(options: BatchTaskOptions) {
    this.#options = options;
    this.#service = this.#createService();
    this.#reader = new ResultReader({
      state: () => this.#service.state,
      confirmLeadership: () => this.#confirmLeadership(),
    });
    this.#runner = this.#createRunner();
    options.node
      .onLog(BATCH_LOG, (message) => this.#service.receive(message as never));
    options.node.hub
      .handle(
        FORM_METHOD,
        (params) =>
          this.#service.driver.bootstrapMembers(params as ReplicaId[]),
      )
      .handle(BatchMethod.Submit, (p) => this.#submit(p as SubmitParams))
      .handle(BatchMethod.Read, (p) => this.#reader.read(p as ReadParams))
      .handle(
        BatchMethod.ReadStored,
        (p) => this.#reader.readStored(p as ReadParams),
      )
      .handle(BatchMethod.Body, (p) => this.#reader.readBody(p as BodyParams))
      .handle(BatchMethod.Holders, () => this.#holders())
      .handle(BatchMethod.End, (p) => this.#end(p as BatchParams));
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
    await this.#service.driver.start();
    this.#maintenanceTimer = setInterval(() => {
      this.#removeExpired();
      this.#transferIfRetiring();
      this.#reportDemand();
      this.#service.updateGauges();
    }, MAINTENANCE_INTERVAL_MS);
  }

  /** Transfers leadership if held, and stops. */
  async stop(): Promise<void> {
    clearInterval(this.#maintenanceTimer);
    this.#runner.stop();
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

  #createService(): Service {
    const { node, dataFolder, now } = this.#options;
    return new LogService({
      ...createLogOptions(node, BATCH_LOG),
      dataFolder,
      createState: () => new BatchState(),
      compactEntries: COMPACT_ENTRIES,
      sizeOf: estimateCommandBytes,
      wantedVoters: () => this.#wantedVoters(),
      wantedLearners: 0,
      now,
      presentReplicas: () => this.#presentReplicas(),
      isLost: (replica) => this.#isLost(instanceOf(replica)),
      isRetiring: (replica) => this.#isRetiring(instanceOf(replica)),
      onApplied: (command) => this.#onApplied(command),
      onRestored: () => this.#reader.wakeAll(),
      onRole: (isLeader) => this.#onRoleChanged(isLeader),
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
      canRunItems: () => {
        const { driver } = this.#service;
        return driver.isReady && driver.node?.hasLease(now()) === true;
      },
      scoring,
      onSigns,
      storeCompleteText: (record) => this.#storeCompleteText(record),
      storeResult: (record) => this.#queueResult(record),
      storePartialTexts: (records) => {
        this.#service.propose({ type: "keep", records })
          .catch((err) => this.#logStoreFailure(err, records.length));
      },
    });
  }

  #wantedVoters(): number {
    const { tolerance } = this.#options.node.settings;
    const replicas = this.#presentReplicas().length;
    const members = this.#service.driver.node?.members.voters.length ?? 0;
    const fullSize = 2 * tolerance + 1;
    return Math.min(fullSize, wantedVoters(Math.max(replicas, members)));
  }

  /** Gets the reachable replicas, excluding those of retiring instances. */
  #presentReplicas(): string[] {
    const { node } = this.#options;
    const others = node.linkedMembers(FleetRole.Ledger)
      .filter(({ member }) => !node.isRetiring(member.name))
      .map(({ member }) => member.replica);
    const own = node.isRetiring(node.settings.name) ? undefined : this.replica;
    return [own, ...others].filter((id) => id !== undefined);
  }

  #isLost(instance: string): boolean {
    const { hub, settings } = this.#options.node;
    if (instance === settings.id || hub.getPresence(instance) !== undefined) {
      return false;
    }
    return hub.absentMs(instance) > settings.times.contactMs;
  }

  #isRetiring(instance: string): boolean {
    const { node } = this.#options;
    const { id, name } = node.settings;
    const retiring = instance === id
      ? name
      : node.hub.getPresence(instance)?.member?.name;
    return retiring !== undefined && node.isRetiring(retiring);
  }

  /** Transfers leadership if this instance is retiring. */
  #transferIfRetiring(): void {
    const { node } = this.#options;
    if (this.leadsTerm === undefined) return;
    if (!node.isRetiring(node.settings.name)) return;
    this.#service.driver.transferLeadership();
  }

  #reportDemand(): void {
    if (this.leadsTerm === undefined) return;
    const { node } = this.#options;
    for (const demand of this.#runner.takeDemand()) {
      node.requestLeader(FleetRole.Control, DEMAND_METHOD, {
        params: demand,
        timeoutMs: DEMAND_TIMEOUT_MS,
      }).catch((err) =>
        node.logger.event("policyUnconfirmed", {
          reason: (err as Error).message,
        })
      );
    }
  }

  /** Gets the instances that hold a replica of the ledger. */
  async #holders(): Promise<string[]> {
    await this.#confirmLeadership();
    const members = this.#service.driver.node?.members;
    if (members === undefined) return [];
    return allMembers(members).map((replica) => instanceOf(replica));
  }

  async #submit({ spec, faults = [] }: SubmitParams): Promise<true> {
    // A batch that was accepted stays so, whatever the policy says by now.
    if (faults.length > 0) await this.#confirmSubmission();
    const existing = this.#service.state.get(spec.id);
    if (existing === undefined && faults.length > 0) {
      throw new RefusalError(RefusalReason.MalformedRequest, Verdict.NotRun, {
        message: faults.join("; "),
      });
    }
    if (existing === undefined) {
      const result = await this.#service.propose({ type: "accept", spec });
      if (!result.isHeld) throw createNotFoundError();
      return true;
    }
    await this.#confirmSubmission();
    if (existing.spec.workspace !== spec.workspace) throw createNotFoundError();
    return true;
  }

  /** Confirms leadership for a batch that may have been accepted before. */
  async #confirmSubmission(): Promise<void> {
    const { MayHaveRun } = Verdict;
    await this.#service.confirmLeadership(CONFIRM_TIMEOUT_MS, MayHaveRun);
  }

  async #end({ workspace, batch }: BatchParams): Promise<true> {
    const record = this.#service.state.getForWorkspace(workspace, batch);
    if (record === undefined) {
      await this.#confirmLeadership();
      if (this.#service.state.getForWorkspace(workspace, batch) === undefined) {
        throw createNotFoundError();
      }
    }
    await this.#service.propose({ type: "end", batch });
    return true;
  }

  async #confirmLeadership(): Promise<void> {
    await this.#service.confirmLeadership(CONFIRM_TIMEOUT_MS);
  }

  /** Queues a result; results that arrive during a write share the next one. */
  #queueResult(record: ResultRecord): void {
    this.#pendingResults.push(record);
    if (!this.#isStoring) this.#storeQueuedResults();
  }

  #storeQueuedResults(): void {
    const records = this.#pendingResults.splice(0, MAX_RESULTS_PER_ENTRY);
    if (records.length === 0) return;
    this.#isStoring = true;
    this.#service.propose({ type: "list", records })
      .catch((err) => {
        this.#logStoreFailure(err, records.length);
        for (const { batch, result } of records) {
          this.#runner.onResultStored(batch, result.id);
        }
      })
      .finally(() => {
        this.#isStoring = false;
        this.#storeQueuedResults();
      });
  }

  #storeCompleteText(record: PartialTextRecord): void {
    this.#service.propose({ type: "keep", records: [record] })
      .catch((err) => {
        this.#logStoreFailure(err, 1);
        this.#runner.onResultStored(record.batch, record.item);
      });
  }

  #logStoreFailure(err: unknown, records: number): void {
    this.#options.node.logger.event("recordsUnstored", {
      reason: (err as Error).message,
      records,
    });
  }

  #onApplied(command: BatchCommand): void {
    this.#appliedHandlers[command.type](command as never);
  }

  readonly #appliedHandlers: {
    readonly [T in BatchCommand["type"]]: (
      command: Extract<BatchCommand, { type: T }>,
    ) => void;
  } = {
    accept: ({ spec }) => {
      this.#options.node.metrics.count("batches.accepted");
      this.#logIfLeader("batchAccepted", {
        batch: spec.id,
        workspace: spec.workspace,
        items: spec.items.length,
        minVersion: spec.minVersion,
      });
      this.#runner.schedulePlacement();
    },
    list: ({ records }) => {
      for (const { batch, result } of records) this.#onResult(batch, result);
    },
    keep: ({ records }) => {
      for (const { batch, item, isComplete } of records) {
        if (isComplete) this.#runner.onTextStored(batch, item);
      }
    },
    end: ({ batch }) => {
      this.#recordDuration(batch);
      this.#logIfLeader("batchEnded", { batch });
      this.#runner.onBatchEnded(batch);
      this.#reader.wake(batch);
    },
    forget: () => {},
  };

  #recordDuration(batch: string): void {
    const spec = this.#service.state.get(batch)?.spec;
    if (spec === undefined) return;
    const tookMs = Date.now() - spec.acceptedAt;
    this.#options.node.metrics.timing("batches.duration", tookMs);
  }

  #onResult(batch: string, result: BatchResult): void {
    this.#runner.onResultStored(batch, result.id);
    this.#options.node.metrics.count(RESULT_METRIC_NAMES[result.state]);
    this.#logIfLeader("itemListed", {
      batch,
      item: result.id,
      state: result.state,
      versions: result.versions.join(","),
      bytes: result.text.length,
    });
    this.#reader.wake(batch);
  }

  /** Logs an event on the leader only, since every replica applies it. */
  #logIfLeader(
    name: "batchAccepted" | "batchEnded" | "itemListed",
    fields: Readonly<Record<string, string | number>>,
  ): void {
    if (this.leadsTerm === undefined) return;
    this.#options.node.logger.event(name, fields);
  }

  #onRoleChanged(isLeader: boolean): void {
    this.#pendingResults = [];
    if (isLeader) this.#runner.start();
    else this.#runner.stop();
    if (!isLeader) this.#reader.wakeAll();
    this.#options.node.hub.announce();
  }

  #removeExpired(): void {
    if (this.leadsTerm === undefined) return;
    const { keepResultsMs } = this.#options.node.settings.times;
    const wallNow = Date.now();
    const isExpired = ({ spec, isEnded }: BatchRecord) => {
      const ageMs = wallNow - spec.acceptedAt - EXPIRY_SLACK_MS;
      return ageMs > keepResultsMs + (isEnded ? 0 : spec.giveUpMs);
    };
    const batches = this.#service.state.all
      .filter(isExpired)
      .map((record) => record.spec.id);
    if (batches.length === 0) return;
    this.#service.propose({ type: "forget", batches })
      .catch((err) => this.#options.node.logger.error(err));
  }
}

const RESULT_METRIC_NAMES = {
  [ResultState.Completed]: "items.completed",
  [ResultState.Abandoned]: "items.abandoned",
} as const;

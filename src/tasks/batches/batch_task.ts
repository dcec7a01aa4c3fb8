/** The ledger of batches on an instance with a disk. */
import {
  type BatchAnswer,
  type BatchCommand,
  type BatchRecord,
  type BatchResult,
  BatchState,
  type LedgerSnapshot,
  type ResultPage,
  type ResultRecord,
  ResultState,
  sizeOfCommand,
} from "../../core/batches/mod.ts";
import {
  allMembers,
  instanceOf,
  type ReplicaId,
} from "../../core/consensus/mod.ts";
import { FleetRole, wantedVoters } from "../../core/fleet/mod.ts";
import { type LoadedVersion, TargetRegistry } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { fleetLogOptions } from "../fleet/fleet_log.ts";
import type { FleetNode } from "../fleet/fleet_node.ts";
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
import type { EnginePort } from "./engine_port.ts";

/** Options of {@link BatchTask}. */
export interface BatchTaskOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  readonly engines: EnginePort;
  /** Gets a clock that counts time in which the machine stood still. */
  readonly now: () => number;
}

/** Name of the ledger's log and of its folder. */
export const BATCH_LOG = "batches";
/** Asks a replica to become one of the first members. */
export const FORM_METHOD = "batches.form";

const COMPACT_ENTRIES = 8_192;
const CONFIRM_MS = 800;
const DEMAND_TIMEOUT_MS = 800;
const MAX_PAGE_BYTES = 700_000;
const UPKEEP_INTERVAL_MS = 1_000;
/** Time after which results that were due to be kept are forgotten. */
const FORGET_SLACK_MS = 30_000;
/** Results that are stored by one entry of the log. */
const MAX_RECORDS = 32;

type Service = LogService<
  BatchCommand,
  LedgerSnapshot,
  BatchAnswer,
  BatchState
>;

/** Owns the ledger's replica, and the runs while it leads. */
export class BatchTask {
  /** Targets, as control instances tell of them. */
  readonly registry = new TargetRegistry();
  readonly #options: BatchTaskOptions;
  readonly #service: Service;
  readonly #runner: BatchRunner;
  readonly #readers = new Map<string, Set<() => void>>();
  #unstored: ResultRecord[] = [];
  #isStoring = false;
  #upkeepTimer: NodeJS.Timeout | undefined;

  /** Creates the task; it does not run yet. */
  constructor(options: BatchTaskOptions) {
    this.#options = options;
    this.#service = this.#createService();
    this.#runner = this.#createRunner();
    options.node
      .onLog(BATCH_LOG, (message) => this.#service.receive(message as never));
    options.node.hub
      .handle(
        FORM_METHOD,
        (params) => this.#service.driver.form(params as ReplicaId[]),
      )
      .handle(BatchMethod.Submit, (p) => this.#submit(p as SubmitParams))
      .handle(BatchMethod.Read, (p) => this.#read(p as ReadParams))
      .handle(BatchMethod.Body, (p) => this.#body(p as BodyParams))
      .handle(BatchMethod.Holders, () => this.#holders())
      .handle(BatchMethod.End, (p) => this.#finish(p as BatchParams));
  }

  /** Gets the replica's identity. */
  get replica(): ReplicaId | undefined {
    return this.#service.driver.replica;
  }

  /** Gets the term that this replica leads. */
  get leadsTerm(): number | undefined {
    return this.#service.leadsTerm;
  }

  /** Opens the store and runs. */
  async start(): Promise<void> {
    await this.#service.driver.start();
    this.#upkeepTimer = setInterval(() => {
      this.#forget();
      this.#yieldIfRetiring();
      this.#tellDemand();
      this.#service.measure();
    }, UPKEEP_INTERVAL_MS);
  }

  /** Hands the lead over and stops. */
  async stop(): Promise<void> {
    clearInterval(this.#upkeepTimer);
    this.#runner.stop();
    await this.#service.stop();
  }

  /** Looks at changed targets. */
  onTargetsChanged(): void {
    this.#runner.onTargetsChanged();
  }

  /** Sends a target no items of a model while it loads the model's weights. */
  onLoading(loading: LoadedVersion): void {
    this.#runner.onLoading(loading);
  }

  #createService(): Service {
    const { node, dataFolder, now } = this.#options;
    return new LogService({
      ...fleetLogOptions(node, BATCH_LOG),
      dataFolder,
      createState: () => new BatchState(),
      compactEntries: COMPACT_ENTRIES,
      sizeOf: sizeOfCommand,
      wantedVoters: () => this.#wantedVoters(),
      wantedLearners: 0,
      now,
      present: () => this.#present(),
      isGone: (replica) => this.#isGone(instanceOf(replica)),
      onApplied: (command) => this.#onApplied(command),
      onRestored: () => this.#wakeAll(),
      onRole: (isLeader) => this.#onRole(isLeader),
    });
  }

  #createRunner(): BatchRunner {
    const { node, engines, now } = this.#options;
    return new BatchRunner({
      state: () => this.#service.state,
      registry: this.registry,
      engines,
      logger: node.logger,
      metrics: node.metrics,
      dataCentre: node.settings.dataCentre,
      now: () => performance.now(),
      mayRun: () => {
        const { driver } = this.#service;
        return driver.isReady && driver.node?.hasLease(now()) === true;
      },
      list: (record) => this.#store(record),
      keep: (records) => {
        this.#service.propose({ type: "keep", records })
          .catch((err) => this.#notStored(err, records.length));
      },
    });
  }

  #wantedVoters(): number {
    const { tolerance } = this.#options.node.settings;
    const replicas = this.#present().length;
    const members = this.#service.driver.node?.members.voters.length ?? 0;
    const enough = 2 * tolerance + 1;
    return Math.min(enough, wantedVoters(Math.max(replicas, members)));
  }

  /** Instances that are emptied take part no more. */
  #present(): string[] {
    const { node } = this.#options;
    const others = node.present(FleetRole.Ledger)
      .filter(({ member }) => !node.isRetiring(member.name))
      .map(({ member }) => member.replica);
    const own = node.isRetiring(node.settings.name) ? undefined : this.replica;
    return [own, ...others].filter((id) => id !== undefined);
  }

  #isGone(instance: string): boolean {
    const { node } = this.#options;
    const { id, name, times } = node.settings;
    if (instance === id) return node.isRetiring(name);
    const member = node.hub.getPresence(instance)?.member;
    if (member !== undefined) return node.isRetiring(member.name);
    return node.hub.absentMs(instance) > times.contactMs;
  }

  /** A leader that is emptied hands the lead to another. */
  #yieldIfRetiring(): void {
    const { node } = this.#options;
    if (this.leadsTerm === undefined) return;
    if (!node.isRetiring(node.settings.name)) return;
    this.#service.driver.yieldLeadership();
  }

  #tellDemand(): void {
    if (this.leadsTerm === undefined) return;
    const { node } = this.#options;
    for (const demand of this.#runner.takeDemand()) {
      node.askLeader(FleetRole.Control, DEMAND_METHOD, {
        params: demand,
        timeoutMs: DEMAND_TIMEOUT_MS,
      }).catch((err) =>
        node.logger.event("policyUnconfirmed", {
          reason: (err as Error).message,
        })
      );
    }
  }

  /** Gets the instances that hold the ledger. */
  async #holders(): Promise<string[]> {
    await this.#confirm();
    const members = this.#service.driver.node?.members;
    if (members === undefined) return [];
    return allMembers(members).map((replica) => instanceOf(replica));
  }

  async #submit({ spec }: SubmitParams): Promise<true> {
    const known = this.#service.state.get(spec.id);
    if (known === undefined) {
      const answer = await this.#service.propose({ type: "accept", spec });
      if (!answer.isHeld) throw notFound();
      return true;
    }
    await this.#service.confirmLead(CONFIRM_MS, Verdict.MayHaveRun);
    if (known.spec.workspace !== spec.workspace) throw notFound();
    return true;
  }

  async #read(params: ReadParams): Promise<ResultPage> {
    const { workspace, batch, after, waitMs } = params;
    await this.#confirm();
    const find = () => this.#service.state.getOf(workspace, batch);
    const record = find();
    if (record === undefined) throw notFound();
    if (record.size <= after && waitMs > 0 && record.isOpen) {
      await this.#whenListed(batch, waitMs);
      await this.#confirm();
    }
    return (find() ?? record).page(after, MAX_PAGE_BYTES);
  }

  async #body({ workspace, batch, item }: BodyParams): Promise<Uint8Array> {
    await this.#confirm();
    const record = this.#service.state.getOf(workspace, batch);
    const body = record?.getItem(item)?.body;
    if (body === undefined) throw notFound();
    return body;
  }

  async #finish({ workspace, batch }: BatchParams): Promise<true> {
    const record = this.#service.state.getOf(workspace, batch);
    if (record === undefined) {
      await this.#confirm();
      if (this.#service.state.getOf(workspace, batch) === undefined) {
        throw notFound();
      }
    }
    await this.#service.propose({ type: "end", batch });
    return true;
  }

  /** Answers that rely on the whole state need a leader that is no other. */
  async #confirm(): Promise<void> {
    await this.#service.confirmLead(CONFIRM_MS);
  }

  #whenListed(batch: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const readers = this.#readers.get(batch) ?? new Set();
      this.#readers.set(batch, readers);
      const settle = () => {
        clearTimeout(timer);
        readers.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, waitMs);
      readers.add(settle);
    });
  }

  #wake(batch: string): void {
    for (const settle of this.#readers.get(batch) ?? []) settle();
    this.#readers.delete(batch);
  }

  #wakeAll(): void {
    for (const batch of [...this.#readers.keys()]) this.#wake(batch);
  }

  /** Results that come while others are being stored go together. */
  #store(record: ResultRecord): void {
    this.#unstored.push(record);
    if (!this.#isStoring) this.#storeNext();
  }

  #storeNext(): void {
    const records = this.#unstored.splice(0, MAX_RECORDS);
    if (records.length === 0) return;
    this.#isStoring = true;
    this.#service.propose({ type: "list", records })
      .catch((err) => {
        this.#notStored(err, records.length);
        for (const { batch, result } of records) {
          this.#runner.onListed(batch, result.id);
        }
      })
      .finally(() => {
        this.#isStoring = false;
        this.#storeNext();
      });
  }

  #notStored(err: unknown, records: number): void {
    this.#options.node.logger.event("recordsUnstored", {
      reason: (err as Error).message,
      records,
    });
  }

  #onApplied(command: BatchCommand): void {
    this.#listeners[command.type](command as never);
  }

  readonly #listeners: {
    readonly [T in BatchCommand["type"]]: (
      command: Extract<BatchCommand, { type: T }>,
    ) => void;
  } = {
    accept: ({ spec }) => {
      this.#options.node.metrics.count("batches.accepted");
      this.#event("batchAccepted", {
        batch: spec.id,
        workspace: spec.workspace,
        items: spec.items.length,
        minVersion: spec.minVersion,
      });
      this.#runner.pump();
    },
    list: ({ records }) => {
      for (const { batch, result } of records) this.#onResult(batch, result);
    },
    keep: () => {},
    end: ({ batch }) => {
      this.#measureEnd(batch);
      this.#event("batchEnded", { batch });
      this.#runner.onEnded(batch);
      this.#wake(batch);
    },
    forget: () => {},
  };

  #measureEnd(batch: string): void {
    const spec = this.#service.state.get(batch)?.spec;
    if (spec === undefined) return;
    const tookMs = Date.now() - spec.acceptedAt;
    this.#options.node.metrics.timing("batches.duration", tookMs);
  }

  #onResult(batch: string, result: BatchResult): void {
    this.#runner.onListed(batch, result.id);
    this.#options.node.metrics.count(RESULT_METRICS[result.state]);
    this.#event("itemListed", {
      batch,
      item: result.id,
      state: result.state,
      versions: result.versions.join(","),
      bytes: result.text.length,
    });
    this.#wake(batch);
  }

  /** Every replica applies; the leader alone tells. */
  #event(
    name: "batchAccepted" | "batchEnded" | "itemListed",
    fields: Readonly<Record<string, string | number>>,
  ): void {
    if (this.leadsTerm === undefined) return;
    this.#options.node.logger.event(name, fields);
  }

  #onRole(isLeader: boolean): void {
    this.#unstored = [];
    if (isLeader) this.#runner.start();
    else this.#runner.stop();
    if (!isLeader) this.#wakeAll();
    this.#options.node.hub.announce();
  }

  #forget(): void {
    if (this.leadsTerm === undefined) return;
    const { keepResultsMs } = this.#options.node.settings.times;
    const wall = Date.now();
    const isOld = ({ spec, isEnded }: BatchRecord) => {
      const ageMs = wall - spec.acceptedAt - FORGET_SLACK_MS;
      return ageMs > keepResultsMs + (isEnded ? 0 : spec.giveUpMs);
    };
    const batches = this.#service.state.all
      .filter(isOld)
      .map((record) => record.spec.id);
    if (batches.length === 0) return;
    this.#service.propose({ type: "forget", batches })
      .catch((err) => this.#options.node.logger.error(err));
  }
}

const RESULT_METRICS = {
  [ResultState.Completed]: "items.completed",
  [ResultState.Abandoned]: "items.abandoned",
} as const;

function notFound(): RefusalError {
  return new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
    message: "No such batch or item",
  });
}

/** One instance: its tasks and their life. */
import { randomUUID } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { ConfigurationView } from "../core/configuration/mod.ts";
import type { CommandAnswer, ControlCommand } from "../core/control/mod.ts";
import type { LedgerRecord, UsageEntry } from "../core/ledger/mod.ts";
import type { SuspicionChange } from "../core/quarantine/mod.ts";
import {
  ExpectedTimePicker,
  type TargetAnnouncement,
  TargetPhase,
} from "../core/routing/mod.ts";
import { Logger } from "../logging/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { readSecretOrThrow, type Settings } from "../settings/mod.ts";
import {
  OrderDeliveryTask,
  type TargetAuthority,
  UsageSealingTask,
  WeightSwapTask,
} from "./leader/mod.ts";
import { CertificateWatcher, readCertificatesOrThrow } from "./certificates.ts";
import { Cluster } from "./cluster.ts";
import { bootstrapControl } from "./control/bootstrap.ts";
import type { ControlPort } from "./control/control_port.ts";
import { LocalControl } from "./control/local_control.ts";
import {
  type AccessTokens,
  CallForwarder,
  type CallGuard,
  CallTask,
  HttpServer,
  LedgerCallGuard,
  OperatorHandlers,
  RouteHandlers,
} from "./entry/mod.ts";
import type { LedgerPort } from "./ledger/ledger_port.ts";
import { LocalLedger } from "./ledger/local_ledger.ts";
import { PrimaryCaller } from "./ledger/primary_caller.ts";
import {
  StepForwarder,
  type StepPort,
  StepTask,
  UsageMeter,
} from "./steps/mod.ts";
import { DispatchTask, ProbeTask, type SharedHealth } from "./targets/mod.ts";

/** Time between two writes of usage to the ledger, in milliseconds. */
const USAGE_INTERVAL_MS = 1_000;
/** Time between two looks for calls whose process is gone. */
const LOST_CALLS_INTERVAL_MS = 2_000;
/** Time between two looks at targets with old weights. */
const WEIGHTS_INTERVAL_MS = 250;
/** Time between two looks at usage windows. */
const SEAL_INTERVAL_MS = 500;
/** Time without a sign of life after which a process's calls are given up. */
const GONE_AFTER_MS = 60_000;
const BOOTSTRAP_RETRY_MS = 300;
const NEIGHBOUR_TIMEOUT_MS = 2_000;
/** Time after which an unchanged announcement is passed on again. */
const TELL_INTERVAL_MS = 5_000;

/**
 * Runs one instance.
 *
 * @example
 * ```ts
 * const instance = await Instance.create(loadSettings("nl-1-a.json"));
 * const port = await instance.start();
 * await instance.drain();
 * ```
 */
export class Instance {
  readonly #settings: Settings;
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #incarnation: string;
  readonly #cluster: Cluster | undefined;
  readonly #control: ControlPort;
  readonly #ledger: LedgerPort;
  readonly #usage = new UsageMeter();
  readonly #dispatch: DispatchTask;
  readonly #probes: ProbeTask;
  readonly #once: LedgerCallGuard;
  readonly #calls: CallTask;
  readonly #steps: StepTask;
  readonly #stepPort: StepPort;
  readonly #server: HttpServer;
  readonly #weights: WeightSwapTask;
  readonly #sealing: UsageSealingTask;
  readonly #charge: OrderDeliveryTask | undefined;
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #watchers: CertificateWatcher[] = [];
  readonly #toldAt = new Map<string, number>();
  #isStopped = false;

  private constructor(parts: {
    settings: Settings;
    logger: Logger;
    metrics: Metrics;
    incarnation: string;
    cluster: Cluster | undefined;
  }) {
    const { settings, cluster } = parts;
    this.#settings = settings;
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
    this.#incarnation = parts.incarnation;
    this.#cluster = cluster;
    this.#control = cluster?.control ?? new LocalControl();
    this.#ledger = cluster?.ledger ?? new LocalLedger();
    this.#dispatch = this.#createDispatch();
    this.#probes = new ProbeTask({
      id: settings.id,
      probers: () => this.#sharers(),
      publish: (found) => this.#tellNeighbours("targets.health", found),
      dispatch: this.#dispatch,
      logger: this.#logger,
      now: Date.now,
      intervalMs: settings.targets.probeIntervalMs,
      ttlMs: settings.targets.announceTtlMs,
    });
    this.#steps = this.#createSteps();
    this.#stepPort = this.#createStepPort();
    this.#once = new LedgerCallGuard({ ledger: this.#ledger, now: Date.now });
    this.#calls = this.#createCalls();
    this.#server = this.#createServer();
    this.#weights = this.#createWeights();
    this.#sealing = new UsageSealingTask({
      dataCentre: settings.dataCentre,
      ledger: this.#ledger,
      control: this.#control,
      now: Date.now,
    });
    this.#charge = cluster === undefined ? undefined : new OrderDeliveryTask({
      settings,
      control: cluster.control,
      logger: this.#logger,
      metrics: this.#metrics,
      now: () => performance.now(),
    });
    this.#listen();
  }

  /** Creates an instance; it does not run yet. */
  static async create(settings: Settings): Promise<Instance> {
    const incarnation = randomUUID().slice(0, 8);
    const logger = new Logger({
      instance: settings.id,
      level: settings.logLevel,
    });
    const metrics = new Metrics({
      receiver: settings.metrics,
      tags: { instance: settings.id, dataCentre: settings.dataCentre },
    });
    const cluster = settings.peers.length === 0
      ? undefined
      : await Cluster.create({ settings, incarnation, logger, metrics });
    return new Instance({ settings, logger, metrics, incarnation, cluster });
  }

  /** Starts to listen and gets the port of callers. */
  async start(): Promise<number> {
    await this.#cluster?.start();
    if (this.#cluster === undefined) {
      await bootstrapControl(this.#control, this.#settings);
    }
    this.#every(USAGE_INTERVAL_MS, () => this.#writeUsage());
    this.#every(LOST_CALLS_INTERVAL_MS, () => this.#loseCalls());
    this.#every(
      WEIGHTS_INTERVAL_MS,
      () => Promise.resolve(this.#weights.startSwaps()),
    );
    this.#every(SEAL_INTERVAL_MS, () => this.#runUsage());
    this.#charge?.start();
    this.#watchCertificates();
    const port = await this.#server.listen();
    this.#logger.event("instanceStarted", { port });
    return port;
  }

  /** Answers what has arrived, then stops. */
  async drain(): Promise<void> {
    this.#logger.event("instanceDraining");
    await this.#cluster?.handOver();
    await this.#server.drain();
    await this.stop();
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const timer of this.#timers) clearInterval(timer);
    await this.#writeUsage();
    this.#probes.stop();
    this.#steps.stop();
    for (const watcher of this.#watchers) watcher.stop();
    await this.#charge?.stop();
    await this.#dispatch.stop();
    this.#server.stop();
    await this.#cluster?.stop();
    await this.#metrics.close();
    this.#logger.event("instanceStopped");
  }

  #every(intervalMs: number, run: () => Promise<void>): void {
    this.#timers.push(setInterval(() => {
      run().catch((err) => this.#logger.error(err));
    }, intervalMs));
  }

  #listen(): void {
    this.#control.onApplied((command, answer) =>
      this.#onApplied(command, answer)
    );
    this.#control.onRestored((state) => {
      for (const { id, withdrawn } of state.keys.list()) {
        if (withdrawn) this.#onKeyWithdrawn(id);
      }
      this.#dispatch.reconfigure();
    });
    this.#ledger.onApplied((record) => {
      if (record.type === "suspicion") {
        this.#dispatch.mergeSuspicion(record.change);
      }
    });
    const cluster = this.#cluster;
    if (cluster === undefined) return;
    cluster.control.onRole((isLeader) => {
      if (isLeader) this.#bootstrapLater();
    });
    cluster.hub
      .handle(
        "targets.announce",
        (params) => this.#onAnnounced(params as TargetAnnouncement),
      )
      .handle("targets.health", (params) => {
        this.#probes.onSharedHealth(params as SharedHealth[]);
      })
      .handle("targets.leave", (params) => {
        this.#dispatch.markLeaving(params as string);
      })
      .handle("suspicion", (params) => {
        this.#dispatch.mergeSuspicion(params as SuspicionChange);
      })
      .handle(
        "ledger.append",
        (params) => this.#ledger.append(params as LedgerRecord),
      );
  }

  #createDispatch(): DispatchTask {
    const { targetCredentialFile, targets } = this.#settings;
    const random = xoroshiro128plus(Date.now() ^ process.pid);
    return new DispatchTask({
      picker: new ExpectedTimePicker(xoroshiro128plus(process.pid)),
      random: () => uniformFloat64(random),
      getWeight: (workspace) => this.#view().getWeight(workspace),
      getLimits: (workspace) => this.#view().getLimits(workspace),
      isLasting: (target) =>
        this.#view().getZone(target.announcement.zone)?.lasting ?? true,
      limitShare: () => 1 / Math.max(1, this.#settings.peers.length),
      logger: this.#logger,
      metrics: this.#metrics,
      now: Date.now,
      targetCredential: secretOf(targetCredentialFile),
      probeTimeoutMs: targets.probeTimeoutMs,
      onSuspicion: (change) => this.#shareSuspicion(change),
    });
  }

  #watchCertificates(): void {
    const { callers, peers } = this.#settings.tls;
    const logger = this.#logger;
    if (callers !== undefined) {
      this.#watchers.push(
        new CertificateWatcher({
          files: callers,
          logger,
          onChange: (changed) => this.#server.setSecureContext(changed),
        }),
      );
    }
    const hub = this.#cluster?.hub;
    if (peers === undefined || hub === undefined) return;
    this.#watchers.push(
      new CertificateWatcher({
        files: peers,
        logger,
        onChange: (changed) => hub.setSecurity(changed),
      }),
    );
  }

  #createWeights(): WeightSwapTask {
    const { targetCredentialFile } = this.#settings;
    return new WeightSwapTask({
      control: this.#control,
      dispatch: this.#dispatch,
      agent: this.#dispatch.agent,
      credential: secretOf(targetCredentialFile),
      authority: () => this.#targetAuthority(),
      logger: this.#logger,
      now: Date.now,
    });
  }

  /** The ledger's primary orders the targets of its data centre. */
  #targetAuthority(): TargetAuthority {
    const cluster = this.#cluster;
    if (cluster === undefined) return { leftMs: Infinity, epoch: 0, view: 1 };
    const { view, feed } = cluster.control;
    return {
      leftMs: feed.homeLeftMs,
      epoch: view?.epoch ?? 0,
      view: view?.number ?? 0,
    };
  }

  async #runUsage(): Promise<void> {
    try {
      await this.#sealing.run();
    } catch {
      // Sealing and handing over go on at the next look.
    }
  }

  #createSteps(): StepTask {
    return new StepTask({
      ledger: this.#ledger,
      control: this.#control,
      dispatch: this.#dispatch,
      usage: this.#usage,
      logger: this.#logger,
      metrics: this.#metrics,
      now: Date.now,
      incarnation: this.#incarnation,
    });
  }

  #createStepPort(): StepPort {
    if (this.#cluster === undefined) return this.#steps;
    return new StepForwarder({
      ledger: this.#ledger,
      local: this.#steps,
      hub: this.#cluster.hub,
    });
  }

  #createCalls(): CallTask {
    return new CallTask({
      dispatch: this.#dispatch,
      guard: this.#createGuard(),
      owner: `${this.#settings.id}#${this.#incarnation}`,
      usage: this.#usage,
      metrics: this.#metrics,
      now: Date.now,
      maxAnswerBytes: this.#settings.http.maxAnswerBytes,
    });
  }

  #createGuard(): CallGuard {
    if (this.#cluster === undefined) return this.#once;
    return new CallForwarder({
      ledger: this.#ledger,
      local: this.#once,
      hub: this.#cluster.hub,
    });
  }

  #createServer(): HttpServer {
    const settings = this.#settings;
    const { operatorTokenFile, targetTokenFile } = settings;
    const tokens: AccessTokens = {
      operator: secretOf(operatorTokenFile),
      target: secretOf(targetTokenFile),
    };
    const callers = settings.tls.callers;
    return new HttpServer({
      settings,
      routes: new RouteHandlers({
        settings,
        control: this.#control,
        calls: this.#calls,
        steps: this.#stepPort,
        now: Date.now,
      }),
      operators: new OperatorHandlers({
        settings,
        tokens,
        control: this.#control,
        ledger: this.#ledger,
        dispatch: this.#dispatch,
        onAnnounced: (announcement) => {
          if (this.#isNews(announcement)) {
            this.#tellNeighbours("targets.announce", announcement);
          }
          this.#onAnnounced(announcement);
        },
        onLeaving: (targetId) => {
          this.#dispatch.markLeaving(targetId);
          this.#tellNeighbours("targets.leave", targetId);
        },
        metrics: this.#metrics,
        status: () => this.#status(),
      }),
      logger: this.#logger,
      metrics: this.#metrics,
      secure: callers === undefined
        ? undefined
        : readCertificatesOrThrow(callers),
    });
  }

  #status(): Record<string, unknown> {
    const incarnation = this.#incarnation;
    const cluster = this.#cluster;
    if (cluster === undefined) return { incarnation };
    const { control, hub, ledger } = cluster;
    const { node } = control.driver ?? {};
    return {
      incarnation,
      hasLease: control.feed.hasLease,
      hasHomeLease: control.feed.hasHomeLease,
      applied: control.feed.node.applied,
      log: node === undefined ? undefined : {
        role: node.role,
        term: node.term,
        leader: node.leader,
        committed: node.committed,
        members: node.members,
      },
      view: control.view,
      ledger: {
        committed: ledger.replica.committed,
        last: ledger.replica.last.index,
      },
      instances: this.#settings.peers.map(({ id, dataCentre }) => ({
        id,
        dataCentre,
        isPresent: id === this.#settings.id || hub.isPresent(id),
      })),
    };
  }

  #view(): ConfigurationView {
    const { document, revision } = this.#control.state.configuration;
    return new ConfigurationView(document, revision);
  }

  /** A new leader writes the first configuration once it can commit. */
  #bootstrapLater(): void {
    const control = this.#cluster?.control;
    const timer = setInterval(() => {
      if (this.#isStopped) clearInterval(timer);
      if (!control?.driver?.isReady) return;
      clearInterval(timer);
      bootstrapControl(control, this.#settings)
        .catch((err) => this.#logger.error(err));
    }, BOOTSTRAP_RETRY_MS);
  }

  #onApplied(command: ControlCommand, answer: CommandAnswer): void {
    if (command.type === "withdrawKey") {
      this.#logger.event("keyWithdrawn", { key: command.id });
      this.#onKeyWithdrawn(command.id);
    }
    if (command.type === "announceWeights" && answer.type === "done") {
      const { model, version } = command;
      this.#logger.event("weightsAnnounced", { model, version });
      this.#steps.onWeightsAnnounced(model, version);
    }
    if (answer.type === "applied") {
      this.#logger.event("configurationApplied", { revision: answer.revision });
      this.#dispatch.reconfigure();
    }
  }

  #onKeyWithdrawn(id: string): void {
    this.#calls.onKeyWithdrawn(id);
    this.#steps.onKeyWithdrawn(id).catch((err) => this.#logger.error(err));
  }

  #shareSuspicion(change: SuspicionChange): void {
    this.#append({ type: "suspicion", change })
      .catch((err) => this.#logger.error(err));
    this.#tellNeighbours("suspicion", change);
  }

  /** Instances of this data centre that the settings name. */
  #sharers(): readonly string[] {
    const { id } = this.#settings;
    const neighbours = this.#cluster?.hub.neighbours ?? [];
    return [id, ...neighbours.map((peer) => peer.id)];
  }

  /** Unchanged announcements are passed on only now and then. */
  #isNews(announcement: TargetAnnouncement): boolean {
    const { id } = announcement;
    const known = this.#dispatch.dispatcher.targets.get(id)?.announcement;
    const isSame = known?.incarnation === announcement.incarnation &&
      known.weightVersion === announcement.weightVersion &&
      known.url === announcement.url;
    const toldAt = this.#toldAt.get(id) ?? 0;
    if (isSame && Date.now() - toldAt < TELL_INTERVAL_MS) return false;
    this.#toldAt.set(id, Date.now());
    return true;
  }

  #onAnnounced(announcement: TargetAnnouncement): void {
    this.#dispatch.announce(announcement);
    this.#probes.onContact(announcement.id);
  }

  /** Tells what is soft state: those that miss it learn it in time. */
  #tellNeighbours(method: string, params: unknown): void {
    const hub = this.#cluster?.hub;
    for (const { id } of hub?.neighbours ?? []) {
      hub?.request(id, method, { params, timeoutMs: NEIGHBOUR_TIMEOUT_MS })
        .catch(() => {});
    }
  }

  /** Appends here where this instance is primary, else at the primary. */
  async #append(record: LedgerRecord): Promise<void> {
    const hub = this.#cluster?.hub;
    const ledger = this.#ledger;
    if (hub === undefined) return await ledger.append(record);
    await new PrimaryCaller({ ledger, hub }).call({
      method: "ledger.append",
      params: record,
      timeoutMs: NEIGHBOUR_TIMEOUT_MS,
      run: () => ledger.append(record),
    });
  }

  async #writeUsage(): Promise<void> {
    const targets = this.#dispatch.dispatcher.targets.list();
    const serving = targets.filter((t) => t.phase === TargetPhase.Serving);
    this.#metrics.gauge("targets.serving", serving.length);
    const entries = this.#usage.drain();
    if (entries.length > 0) await this.#writeEntries(entries);
  }

  /** Use whose writing is in doubt is not written again: never twice. */
  async #writeEntries(entries: readonly UsageEntry[]): Promise<void> {
    try {
      await this.#append({ type: "usage", entries });
    } catch (err) {
      const isNotRun = (err as { verdict?: string }).verdict === "notRun";
      if (isNotRun) this.#usage.restore(entries);
      else this.#logger.event("usageInDoubt", { entries: entries.length });
    }
  }

  async #loseCalls(): Promise<void> {
    const hub = this.#cluster?.hub;
    if (!this.#ledger.isPrimary || hub === undefined) return;
    await this.#once.failCallsOf((owner) => {
      const [id, incarnation] = owner.split("#");
      if (id === this.#settings.id) return incarnation !== this.#incarnation;
      if (hub.absentMs(id) > GONE_AFTER_MS) return true;
      const presence = hub.getPresence(id);
      return presence !== undefined && presence.incarnation !== incarnation;
    });
  }
}

function secretOf(file: string | undefined): string | undefined {
  return file === undefined ? undefined : readSecretOrThrow(file);
}

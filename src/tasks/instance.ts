/**
 * An instance of the service: creates, connects, starts and stops its tasks.
 */
import { randomUUID } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ElapsedClock } from "../core/clock/mod.ts";
import { ConfigurationView } from "../core/configuration/mod.ts";
import type { CommandResult, ControlCommand } from "../core/control/mod.ts";
import type { LedgerRecord } from "../core/ledger/mod.ts";
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
import { createClusterPaths } from "./cluster_paths.ts";
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
import { RelayServer, type TargetPaths } from "./paths/mod.ts";
import { describeInstance } from "./instance_status.ts";
import { PrimaryLedger } from "./ledger/primary_ledger.ts";
import { LocalPeers } from "./local_peers.ts";
import {
  StepForwarder,
  type StepPort,
  StepTask,
  UsageMeter,
  UsageWriter,
} from "./steps/mod.ts";
import { createRandom } from "./random.ts";
import { DispatchTask, ProbeTask, type SharedHealth } from "./targets/mod.ts";

/** Interval of usage writes to the ledger. */
const USAGE_INTERVAL_MS = 1_000;
/** Interval of the check for running calls whose process has exited. */
const ORPHANED_CALLS_INTERVAL_MS = 2_000;
/** Interval of the check for targets with outdated weights. */
const WEIGHTS_INTERVAL_MS = 250;
/** Interval of the check for usage windows to seal. */
const SEAL_INTERVAL_MS = 500;
/**
 * Absence of an instance after which its running calls are recorded as lost.
 */
const OWNER_TIMEOUT_MS = 60_000;
const BOOTSTRAP_POLL_INTERVAL_MS = 300;

/**
 * Runs an instance of the service.
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
  readonly #primaryLedger: PrimaryLedger;
  readonly #usageWriter: UsageWriter;
  readonly #localPeers: LocalPeers;
  readonly #paths: TargetPaths;
  readonly #relays: RelayServer | undefined;
  readonly #dispatch: DispatchTask;
  readonly #probeTask: ProbeTask;
  readonly #callGuard: LedgerCallGuard;
  readonly #calls: CallTask;
  readonly #steps: StepTask;
  readonly #stepPort: StepPort;
  readonly #server: HttpServer;
  readonly #weightSwaps: WeightSwapTask;
  readonly #usageSealing: UsageSealingTask;
  readonly #orderDelivery: OrderDeliveryTask | undefined;
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #watchers: CertificateWatcher[] = [];
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
    this.#paths = createClusterPaths({
      cluster,
      dataCentre: settings.dataCentre,
      logger: this.#logger,
      metrics: this.#metrics,
    });
    this.#primaryLedger = new PrimaryLedger({
      ledger: this.#ledger,
      hub: cluster?.hub,
    });
    this.#usageWriter = new UsageWriter({
      meter: this.#usage,
      ledger: this.#primaryLedger,
      logger: this.#logger,
    });
    this.#localPeers = new LocalPeers({
      hub: cluster?.hub,
      getAnnounced: (id) =>
        this.#dispatch.dispatcher.targets.get(id)?.announcement,
    });
    this.#relays = this.#createRelays();
    this.#dispatch = this.#createDispatch();
    this.#probeTask = new ProbeTask({
      id: settings.id,
      probers: () => this.#getProbers(),
      publish: (found) => this.#localPeers.notify("targets.health", found),
      dispatch: this.#dispatch,
      logger: this.#logger,
      now: Date.now,
      intervalMs: settings.targets.probeIntervalMs,
      ttlMs: settings.targets.announceTtlMs,
    });
    this.#steps = this.#createSteps();
    this.#stepPort = this.#createStepPort();
    this.#callGuard = new LedgerCallGuard({
      ledger: this.#ledger,
      now: Date.now,
    });
    this.#calls = this.#createCalls();
    this.#server = this.#createServer();
    this.#weightSwaps = this.#createWeightSwaps();
    this.#usageSealing = new UsageSealingTask({
      dataCentre: settings.dataCentre,
      ledger: this.#ledger,
      control: this.#control,
      now: Date.now,
    });
    this.#orderDelivery = cluster === undefined
      ? undefined
      : new OrderDeliveryTask({
        settings,
        control: cluster.control,
        logger: this.#logger,
        metrics: this.#metrics,
        now: () => performance.now(),
      });
    this.#subscribe();
  }

  /** Creates an instance; call {@link start} to run it. */
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

  /**
   * Starts all tasks and the HTTP server.
   * @returns Port of the HTTP server.
   */
  async start(): Promise<number> {
    await this.#cluster?.start();
    if (this.#cluster === undefined) {
      await bootstrapControl(this.#control, this.#settings);
    }
    this.#runEvery(USAGE_INTERVAL_MS, () => this.#writeUsage());
    this.#runEvery(ORPHANED_CALLS_INTERVAL_MS, () => this.#failOrphanedCalls());
    this.#runEvery(
      WEIGHTS_INTERVAL_MS,
      () => Promise.resolve(this.#weightSwaps.startSwaps()),
    );
    this.#runEvery(SEAL_INTERVAL_MS, () => this.#sealUsage());
    this.#orderDelivery?.start();
    this.#watchCertificates();
    const port = await this.#server.listen();
    this.#logger.event("instanceStarted", { port });
    return port;
  }

  /** Transfers leadership, completes the requests in progress and stops. */
  async drain(): Promise<void> {
    this.#logger.event("instanceDraining");
    await this.#cluster?.transferLeadership();
    await Promise.all([
      this.#server.drain(),
      this.#relays?.drain(this.#settings.http.drainTimeoutMs),
    ]);
    await this.stop();
  }

  /** Writes accumulated usage and stops, without waiting for requests. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const timer of this.#timers) clearInterval(timer);
    await this.#writeUsage();
    this.#probeTask.stop();
    this.#steps.stop();
    for (const watcher of this.#watchers) watcher.stop();
    await this.#orderDelivery?.stop();
    await this.#weightSwaps.stop();
    this.#dispatch.stop();
    this.#server.stop();
    this.#relays?.stop();
    await this.#cluster?.stop();
    await this.#metrics.close();
    this.#logger.event("instanceStopped");
  }

  #runEvery(intervalMs: number, run: () => Promise<void>): void {
    this.#timers.push(setInterval(() => {
      run().catch((err) => this.#logger.error(err));
    }, intervalMs));
  }

  #subscribe(): void {
    this.#control.onApplied((command, result) =>
      this.#onApplied(command, result)
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
    cluster.control.onLeadershipChanged((isLeader) => {
      if (isLeader) this.#bootstrapWhenReady();
    });
    cluster.hub
      .handle(
        "targets.announce",
        (params) => this.#onAnnounced(params as TargetAnnouncement),
      )
      .handle("targets.health", (params) => {
        this.#probeTask.onSharedHealth(params as SharedHealth[]);
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

  /** Creates the forwarding of connections for peers that have lost targets. */
  #createRelays(): RelayServer | undefined {
    const hub = this.#cluster?.hub;
    return hub && new RelayServer({
      hub,
      paths: this.#paths,
      isTarget: (address) => this.#dispatch.hasTargetAt(address),
      clock: new ElapsedClock(),
      logger: this.#logger,
      metrics: this.#metrics,
    });
  }

  #createDispatch(): DispatchTask {
    const { targetCredentialFile, targets } = this.#settings;
    return new DispatchTask({
      picker: new ExpectedTimePicker(xoroshiro128plus(process.pid)),
      random: createRandom(),
      getWeight: (workspace) => this.#getConfiguration().getWeight(workspace),
      getLimits: (workspace) => this.#getConfiguration().getLimits(workspace),
      isLasting: (target) =>
        this.#getConfiguration().getZone(target.announcement.zone)?.lasting ??
          true,
      limitShare: () => 1 / Math.max(1, this.#settings.peers.length),
      logger: this.#logger,
      metrics: this.#metrics,
      now: Date.now,
      targetCredential: readSecretIfSet(targetCredentialFile),
      paths: this.#paths,
      probeTimeoutMs: targets.probeTimeoutMs,
      onSuspicion: (change) => this.#publishSuspicion(change),
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

  #createWeightSwaps(): WeightSwapTask {
    const { targetCredentialFile } = this.#settings;
    return new WeightSwapTask({
      control: this.#control,
      dispatch: this.#dispatch,
      credential: readSecretIfSet(targetCredentialFile),
      authority: () => this.#getTargetAuthority(),
      logger: this.#logger,
      now: Date.now,
    });
  }

  /** Gets the authority over targets, held by the ledger primary. */
  #getTargetAuthority(): TargetAuthority {
    const cluster = this.#cluster;
    if (cluster === undefined) return { leftMs: Infinity, epoch: 0, view: 1 };
    const { view, feed } = cluster.control;
    return {
      leftMs: feed.homeAuthorityLeftMs,
      epoch: view?.epoch ?? 0,
      view: view?.number ?? 0,
    };
  }

  async #sealUsage(): Promise<void> {
    try {
      await this.#usageSealing.run();
    } catch {
      // Sealing and reporting are retried at the next interval.
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
      guard: this.#createCallGuard(),
      owner: `${this.#settings.id}#${this.#incarnation}`,
      usage: this.#usage,
      metrics: this.#metrics,
      now: Date.now,
      maxAnswerBytes: this.#settings.http.maxAnswerBytes,
    });
  }

  #createCallGuard(): CallGuard {
    if (this.#cluster === undefined) return this.#callGuard;
    return new CallForwarder({
      ledger: this.#ledger,
      local: this.#callGuard,
      hub: this.#cluster.hub,
    });
  }

  #createServer(): HttpServer {
    const settings = this.#settings;
    const { operatorTokenFile, targetTokenFile } = settings;
    const tokens: AccessTokens = {
      operator: readSecretIfSet(operatorTokenFile),
      target: readSecretIfSet(targetTokenFile),
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
          this.#localPeers.forward(announcement);
          this.#onAnnounced(announcement);
        },
        onLeaving: (targetId) => {
          this.#dispatch.markLeaving(targetId);
          this.#localPeers.notify("targets.leave", targetId);
        },
        metrics: this.#metrics,
        status: () =>
          describeInstance({
            settings,
            incarnation: this.#incarnation,
            cluster: this.#cluster,
          }),
      }),
      logger: this.#logger,
      metrics: this.#metrics,
      secure: callers === undefined
        ? undefined
        : readCertificatesOrThrow(callers),
    });
  }

  #getConfiguration(): ConfigurationView {
    const { document, revision } = this.#control.state.configuration;
    return new ConfigurationView(document, revision);
  }

  /**
   * Writes the initial configuration as soon as this new control leader can
   * commit entries.
   */
  #bootstrapWhenReady(): void {
    const control = this.#cluster?.control;
    const timer = setInterval(() => {
      if (this.#isStopped) clearInterval(timer);
      if (!control?.driver?.isReady) return;
      clearInterval(timer);
      bootstrapControl(control, this.#settings)
        .catch((err) => this.#logger.error(err));
    }, BOOTSTRAP_POLL_INTERVAL_MS);
  }

  #onApplied(command: ControlCommand, result: CommandResult): void {
    if (command.type === "withdrawKey") {
      this.#logger.event("keyWithdrawn", { key: command.id });
      this.#onKeyWithdrawn(command.id);
    }
    if (command.type === "announceWeights" && result.type === "done") {
      const { model, version } = command;
      this.#logger.event("weightsAnnounced", { model, version });
      this.#steps.onWeightsAnnounced(model, version);
    }
    if (result.type === "applied") {
      this.#logger.event("configurationApplied", { revision: result.revision });
      this.#dispatch.reconfigure();
    }
  }

  #onKeyWithdrawn(id: string): void {
    this.#calls.onKeyWithdrawn(id);
    this.#steps.onKeyWithdrawn(id).catch((err) => this.#logger.error(err));
  }

  #publishSuspicion(change: SuspicionChange): void {
    this.#primaryLedger.append({ type: "suspicion", change })
      .catch((err) => this.#logger.error(err));
    this.#localPeers.notify("suspicion", change);
  }

  /**
   * Gets the IDs of this instance and of its configured peers in the data
   * centre, which share the probes.
   */
  #getProbers(): readonly string[] {
    const { id } = this.#settings;
    const localPeers = this.#cluster?.hub.localPeers ?? [];
    return [id, ...localPeers.map((peer) => peer.id)];
  }

  #onAnnounced(announcement: TargetAnnouncement): void {
    this.#dispatch.announce(announcement);
    this.#probeTask.onContact(announcement.id);
  }

  async #writeUsage(): Promise<void> {
    const targets = this.#dispatch.dispatcher.targets.list();
    const serving = targets.filter((t) => t.phase === TargetPhase.Serving);
    this.#metrics.gauge("targets.serving", serving.length);
    await this.#usageWriter.write();
  }

  async #failOrphanedCalls(): Promise<void> {
    const hub = this.#cluster?.hub;
    if (!this.#ledger.isPrimary || hub === undefined) return;
    await this.#callGuard.failCallsOf((owner) => {
      const [id, incarnation] = owner.split("#");
      if (id === this.#settings.id) return incarnation !== this.#incarnation;
      if (hub.absentMs(id) > OWNER_TIMEOUT_MS) return true;
      const presence = hub.getPresence(id);
      return presence !== undefined && presence.incarnation !== incarnation;
    });
  }
}

function readSecretIfSet(file: string | undefined): string | undefined {
  return file === undefined ? undefined : readSecretOrThrow(file);
}

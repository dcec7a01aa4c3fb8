/** The tasks of an instance, connected to each other. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ElapsedClock } from "../core/clock/mod.ts";
import { ConfigurationView } from "../core/configuration/mod.ts";
import type { SuspicionChange } from "../core/quarantine/mod.ts";
import {
  ExpectedTimePicker,
  type TargetAnnouncement,
} from "../core/routing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { readSecretOrThrow, type Settings } from "../settings/mod.ts";
import {
  OrderDeliveryTask,
  type TargetAuthority,
  UsageSealingTask,
  WeightSwapTask,
} from "./leader/mod.ts";
import { readCertificatesOrThrow } from "./certificates.ts";
import type { Cluster } from "./cluster.ts";
import { createClusterPaths } from "./cluster_paths.ts";
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
import { DispatchTask, ProbeTask } from "./targets/mod.ts";

/** What {@link InstanceParts} are created from. */
export interface InstancePartsStructure {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly incarnation: string;
  /** Undefined for an instance without peers. */
  readonly cluster: Cluster | undefined;
}

/** Creates the tasks of an instance and connects them; starts none. */
export class InstanceParts {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly cluster: Cluster | undefined;
  readonly control: ControlPort;
  readonly ledger: LedgerPort;
  readonly usageWriter: UsageWriter;
  readonly relays: RelayServer | undefined;
  readonly dispatch: DispatchTask;
  readonly probeTask: ProbeTask;
  readonly callGuard: LedgerCallGuard;
  readonly calls: CallTask;
  readonly steps: StepTask;
  readonly server: HttpServer;
  readonly weightSwaps: WeightSwapTask;
  readonly usageSealing: UsageSealingTask;
  readonly orderDelivery: OrderDeliveryTask | undefined;
  readonly #usage = new UsageMeter();
  readonly #primaryLedger: PrimaryLedger;
  readonly #localPeers: LocalPeers;
  readonly #paths: TargetPaths;
  readonly #stepPort: StepPort;

  constructor(parts: InstancePartsStructure) {
    const { settings, cluster } = parts;
    this.settings = settings;
    this.logger = parts.logger;
    this.metrics = parts.metrics;
    this.incarnation = parts.incarnation;
    this.cluster = cluster;
    this.control = cluster?.control ?? new LocalControl();
    this.ledger = cluster?.ledger ?? new LocalLedger();
    this.#paths = createClusterPaths({
      cluster,
      dataCentre: settings.dataCentre,
      logger: this.logger,
      metrics: this.metrics,
    });
    this.#primaryLedger = new PrimaryLedger({
      ledger: this.ledger,
      hub: cluster?.hub,
    });
    this.usageWriter = new UsageWriter({
      meter: this.#usage,
      ledger: this.#primaryLedger,
      logger: this.logger,
    });
    this.#localPeers = new LocalPeers({
      hub: cluster?.hub,
      getAnnounced: (id) =>
        this.dispatch.dispatcher.targets.get(id)?.announcement,
    });
    this.relays = this.#createRelays();
    this.dispatch = this.#createDispatch();
    this.probeTask = new ProbeTask({
      id: settings.id,
      probers: () => this.#getProbers(),
      publish: (found) => this.#localPeers.notify("targets.health", found),
      dispatch: this.dispatch,
      logger: this.logger,
      now: Date.now,
      intervalMs: settings.targets.probeIntervalMs,
      ttlMs: settings.targets.announceTtlMs,
    });
    this.steps = this.#createSteps();
    this.#stepPort = this.#createStepPort();
    this.callGuard = new LedgerCallGuard({
      ledger: this.ledger,
      now: Date.now,
    });
    this.calls = this.#createCalls();
    this.server = this.#createServer();
    this.weightSwaps = this.#createWeightSwaps();
    this.usageSealing = new UsageSealingTask({
      dataCentre: settings.dataCentre,
      ledger: this.ledger,
      control: this.control,
      now: Date.now,
    });
    this.orderDelivery = cluster === undefined
      ? undefined
      : new OrderDeliveryTask({
        settings,
        control: cluster.control,
        logger: this.logger,
        metrics: this.metrics,
        now: () => performance.now(),
      });
  }

  /** Creates the forwarding of connections for peers that have lost targets. */
  #createRelays(): RelayServer | undefined {
    const hub = this.cluster?.hub;
    return hub && new RelayServer({
      hub,
      paths: this.#paths,
      isTarget: (address) => this.dispatch.hasTargetAt(address),
      clock: new ElapsedClock(),
      logger: this.logger,
      metrics: this.metrics,
    });
  }

  #createDispatch(): DispatchTask {
    const { targetCredentialFile, targets } = this.settings;
    return new DispatchTask({
      picker: new ExpectedTimePicker(xoroshiro128plus(process.pid)),
      random: createRandom(),
      getWeight: (workspace) => this.#getConfiguration().getWeight(workspace),
      getLimits: (workspace) => this.#getConfiguration().getLimits(workspace),
      isLasting: (target) =>
        this.#getConfiguration().getZone(target.announcement.zone)?.lasting ??
          true,
      limitShare: () => 1 / Math.max(1, this.settings.peers.length),
      logger: this.logger,
      metrics: this.metrics,
      now: Date.now,
      targetCredential: readSecretIfSet(targetCredentialFile),
      paths: this.#paths,
      probeTimeoutMs: targets.probeTimeoutMs,
      onSuspicion: (change) => this.#publishSuspicion(change),
    });
  }

  #createWeightSwaps(): WeightSwapTask {
    const { targetCredentialFile } = this.settings;
    return new WeightSwapTask({
      control: this.control,
      dispatch: this.dispatch,
      credential: readSecretIfSet(targetCredentialFile),
      authority: () => this.#getTargetAuthority(),
      logger: this.logger,
      now: Date.now,
    });
  }

  /** Gets the authority over targets, held by the ledger primary. */
  #getTargetAuthority(): TargetAuthority {
    const cluster = this.cluster;
    if (cluster === undefined) return { leftMs: Infinity, epoch: 0, view: 1 };
    const { view, feed } = cluster.control;
    return {
      leftMs: feed.homeAuthorityLeftMs,
      epoch: view?.epoch ?? 0,
      view: view?.number ?? 0,
    };
  }

  #createSteps(): StepTask {
    return new StepTask({
      ledger: this.ledger,
      control: this.control,
      dispatch: this.dispatch,
      usage: this.#usage,
      logger: this.logger,
      metrics: this.metrics,
      now: Date.now,
      incarnation: this.incarnation,
    });
  }

  #createStepPort(): StepPort {
    if (this.cluster === undefined) return this.steps;
    return new StepForwarder({
      ledger: this.ledger,
      local: this.steps,
      hub: this.cluster.hub,
    });
  }

  #createCalls(): CallTask {
    return new CallTask({
      dispatch: this.dispatch,
      guard: this.#createCallGuard(),
      owner: `${this.settings.id}#${this.incarnation}`,
      usage: this.#usage,
      metrics: this.metrics,
      now: Date.now,
      maxAnswerBytes: this.settings.http.maxAnswerBytes,
    });
  }

  #createCallGuard(): CallGuard {
    if (this.cluster === undefined) return this.callGuard;
    return new CallForwarder({
      ledger: this.ledger,
      local: this.callGuard,
      hub: this.cluster.hub,
    });
  }

  #createServer(): HttpServer {
    const settings = this.settings;
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
        control: this.control,
        calls: this.calls,
        steps: this.#stepPort,
        now: Date.now,
      }),
      operators: new OperatorHandlers({
        settings,
        tokens,
        control: this.control,
        ledger: this.ledger,
        dispatch: this.dispatch,
        onAnnounced: (announcement) => {
          this.#localPeers.forward(announcement);
          this.announceTarget(announcement);
        },
        onLeaving: (targetId) => {
          this.dispatch.markLeaving(targetId);
          this.#localPeers.notify("targets.leave", targetId);
        },
        metrics: this.metrics,
        status: () =>
          describeInstance({
            settings,
            incarnation: this.incarnation,
            cluster: this.cluster,
          }),
      }),
      logger: this.logger,
      metrics: this.metrics,
      secure: callers === undefined
        ? undefined
        : readCertificatesOrThrow(callers),
    });
  }

  #getConfiguration(): ConfigurationView {
    const { document, revision } = this.control.state.configuration;
    return new ConfigurationView(document, revision);
  }

  #publishSuspicion(change: SuspicionChange): void {
    this.#primaryLedger.append({ type: "suspicion", change })
      .catch((err) => this.logger.error(err));
    this.#localPeers.notify("suspicion", change);
  }

  /**
   * Gets the IDs of this instance and of its configured peers in the data
   * centre, which share the probes.
   */
  #getProbers(): readonly string[] {
    const { id } = this.settings;
    const localPeers = this.cluster?.hub.localPeers ?? [];
    return [id, ...localPeers.map((peer) => peer.id)];
  }

  /** Records an announced target. */
  announceTarget(announcement: TargetAnnouncement): void {
    this.dispatch.announce(announcement);
    this.probeTask.onContact(announcement.id);
  }
}

function readSecretIfSet(file: string | undefined): string | undefined {
  return file === undefined ? undefined : readSecretOrThrow(file);
}

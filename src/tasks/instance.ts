/**
 * An instance of the service: starts, stops and subscribes its tasks.
 */
import { randomUUID } from "node:crypto";
import type { CommandResult, ControlCommand } from "../core/control/mod.ts";
import type { LedgerRecord } from "../core/ledger/mod.ts";
import type { SuspicionChange } from "../core/quarantine/mod.ts";
import { type TargetAnnouncement, TargetPhase } from "../core/routing/mod.ts";
import { Logger } from "../logging/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { CertificateWatcher } from "./certificates.ts";
import { Cluster } from "./cluster.ts";
import { bootstrapControl } from "./control/bootstrap.ts";
import { InstanceParts } from "./instance_parts.ts";
import type { SharedHealth } from "./targets/mod.ts";

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
  readonly #parts: InstanceParts;
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #watchers: CertificateWatcher[] = [];
  #isStopped = false;

  private constructor(parts: InstanceParts) {
    this.#parts = parts;
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
    return new Instance(
      new InstanceParts({ settings, logger, metrics, incarnation, cluster }),
    );
  }

  /**
   * Starts all tasks and the HTTP server.
   * @returns Port of the HTTP server.
   */
  async start(): Promise<number> {
    await this.#parts.cluster?.start();
    if (this.#parts.cluster === undefined) {
      await bootstrapControl(this.#parts.control, this.#parts.settings);
    }
    this.#runEvery(USAGE_INTERVAL_MS, () => this.#writeUsage());
    this.#runEvery(ORPHANED_CALLS_INTERVAL_MS, () => this.#failOrphanedCalls());
    this.#runEvery(
      WEIGHTS_INTERVAL_MS,
      () => Promise.resolve(this.#parts.weightSwaps.startSwaps()),
    );
    this.#runEvery(SEAL_INTERVAL_MS, () => this.#sealUsage());
    this.#parts.orderDelivery?.start();
    this.#watchCertificates();
    const port = await this.#parts.server.listen();
    this.#parts.logger.event("instanceStarted", { port });
    return port;
  }

  /** Transfers leadership, completes the requests in progress and stops. */
  async drain(): Promise<void> {
    this.#parts.logger.event("instanceDraining");
    await this.#parts.cluster?.transferLeadership();
    await Promise.all([
      this.#parts.server.drain(),
      this.#parts.relays?.drain(this.#parts.settings.http.drainTimeoutMs),
    ]);
    await this.stop();
  }

  /** Writes accumulated usage and stops, without waiting for requests. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const timer of this.#timers) clearInterval(timer);
    await this.#writeUsage();
    this.#parts.probeTask.stop();
    this.#parts.steps.stop();
    for (const watcher of this.#watchers) watcher.stop();
    await this.#parts.orderDelivery?.stop();
    await this.#parts.weightSwaps.stop();
    this.#parts.dispatch.stop();
    this.#parts.server.stop();
    this.#parts.relays?.stop();
    await this.#parts.cluster?.stop();
    await this.#parts.metrics.close();
    this.#parts.logger.event("instanceStopped");
  }

  #runEvery(intervalMs: number, run: () => Promise<void>): void {
    this.#timers.push(setInterval(() => {
      run().catch((err) => this.#parts.logger.error(err));
    }, intervalMs));
  }

  #subscribe(): void {
    this.#parts.control.onApplied((command, result) =>
      this.#onApplied(command, result)
    );
    this.#parts.control.onRestored((state) => {
      for (const { id, withdrawn } of state.keys.list()) {
        if (withdrawn) this.#onKeyWithdrawn(id);
      }
      this.#parts.dispatch.reconfigure();
    });
    this.#parts.ledger.onApplied((record) => {
      if (record.type === "suspicion") {
        this.#parts.dispatch.mergeSuspicion(record.change);
      }
    });
    const cluster = this.#parts.cluster;
    if (cluster === undefined) return;
    cluster.control.onLeadershipChanged((isLeader) => {
      if (isLeader) this.#bootstrapWhenReady();
    });
    cluster.hub
      .handle(
        "targets.announce",
        (params) => this.#parts.announceTarget(params as TargetAnnouncement),
      )
      .handle("targets.health", (params) => {
        this.#parts.probeTask.onSharedHealth(params as SharedHealth[]);
      })
      .handle("targets.leave", (params) => {
        this.#parts.dispatch.markLeaving(params as string);
      })
      .handle("suspicion", (params) => {
        this.#parts.dispatch.mergeSuspicion(params as SuspicionChange);
      })
      .handle(
        "ledger.append",
        (params) => this.#parts.ledger.append(params as LedgerRecord),
      );
  }

  #watchCertificates(): void {
    const { callers, peers } = this.#parts.settings.tls;
    const logger = this.#parts.logger;
    if (callers !== undefined) {
      this.#watchers.push(
        new CertificateWatcher({
          files: callers,
          logger,
          onChange: (changed) => this.#parts.server.setSecureContext(changed),
        }),
      );
    }
    const hub = this.#parts.cluster?.hub;
    if (peers === undefined || hub === undefined) return;
    this.#watchers.push(
      new CertificateWatcher({
        files: peers,
        logger,
        onChange: (changed) => hub.setSecurity(changed),
      }),
    );
  }

  async #sealUsage(): Promise<void> {
    try {
      await this.#parts.usageSealing.run();
    } catch {
      // Sealing and reporting are retried at the next interval.
    }
  }

  /**
   * Writes the initial configuration as soon as this new control leader can
   * commit entries.
   */
  #bootstrapWhenReady(): void {
    const control = this.#parts.cluster?.control;
    const timer = setInterval(() => {
      if (this.#isStopped) clearInterval(timer);
      if (!control?.driver?.isReady) return;
      clearInterval(timer);
      bootstrapControl(control, this.#parts.settings)
        .catch((err) => this.#parts.logger.error(err));
    }, BOOTSTRAP_POLL_INTERVAL_MS);
  }

  #onApplied(command: ControlCommand, result: CommandResult): void {
    if (command.type === "withdrawKey") {
      this.#parts.logger.event("keyWithdrawn", { key: command.id });
      this.#onKeyWithdrawn(command.id);
    }
    if (command.type === "announceWeights" && result.type === "done") {
      const { model, version } = command;
      this.#parts.logger.event("weightsAnnounced", { model, version });
      this.#parts.steps.onWeightsAnnounced(model, version);
    }
    if (result.type === "applied") {
      this.#parts.logger.event("configurationApplied", {
        revision: result.revision,
      });
      this.#parts.dispatch.reconfigure();
    }
  }

  #onKeyWithdrawn(id: string): void {
    this.#parts.calls.onKeyWithdrawn(id);
    this.#parts.steps.onKeyWithdrawn(id).catch((err) =>
      this.#parts.logger.error(err)
    );
  }

  async #writeUsage(): Promise<void> {
    const targets = this.#parts.dispatch.dispatcher.targets.list();
    const serving = targets.filter((t) => t.phase === TargetPhase.Serving);
    this.#parts.metrics.gauge("targets.serving", serving.length);
    await this.#parts.usageWriter.write();
  }

  async #failOrphanedCalls(): Promise<void> {
    const hub = this.#parts.cluster?.hub;
    if (!this.#parts.ledger.isPrimary || hub === undefined) return;
    await this.#parts.callGuard.failCallsOf((owner) => {
      const [id, incarnation] = owner.split("#");
      if (id === this.#parts.settings.id) {
        return incarnation !== this.#parts.incarnation;
      }
      if (hub.absentMs(id) > OWNER_TIMEOUT_MS) return true;
      const presence = hub.getPresence(id);
      return presence !== undefined && presence.incarnation !== incarnation;
    });
  }
}

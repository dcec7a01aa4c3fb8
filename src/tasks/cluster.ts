/** The components of an instance that communicate with other instances. */
import { randomBytes } from "node:crypto";
import { instanceOfProcess } from "../core/ledger/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { ControlTask } from "./control/control_task.ts";
import { LedgerStore } from "./ledger/ledger_store.ts";
import { LedgerTask } from "./ledger/ledger_task.ts";
import { PeerHub } from "./peers/mod.ts";

/** Options of {@link Cluster.create}. */
export interface ClusterOptions {
  readonly settings: Settings;
  /** Incarnation of the process: a new value at each start. */
  readonly incarnation: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const INCARNATION_BYTES = 4;
const LEADERSHIP_TRANSFER_TIMEOUT_MS = 5_000;
const LEADERSHIP_POLL_INTERVAL_MS = 50;

/** Owns the peer connections, the control log and the ledger of an instance. */
export class Cluster {
  /** Connections to the peers. */
  readonly hub: PeerHub;
  readonly control: ControlTask;
  readonly ledger: LedgerTask;
  #isDraining = false;
  #isCutOff = false;

  private constructor(
    options: ClusterOptions,
    opened: { process: string; store: LedgerStore | undefined },
  ) {
    const { settings, logger, metrics, incarnation } = options;
    const { process, store } = opened;
    const now = () => performance.now();
    this.hub = new PeerHub({
      settings,
      logger,
      metrics,
      presence: () => ({
        replica: this.control.driver?.replica,
        ledger: process,
        incarnation,
        isDraining: this.#isDraining,
        isCutOff: this.#isCutOff,
      }),
      presenceRecipients: () => this.#getPresenceRecipients(process),
    });
    this.control = new ControlTask({
      settings,
      process,
      hub: this.hub,
      logger,
      now,
      isDraining: () => this.#isDraining,
    });
    this.ledger = new LedgerTask({
      process,
      dataCentre: settings.dataCentre,
      store,
      hub: this.hub,
      control: this.control,
      logger,
      now,
    });
  }

  /** Opens the stores and creates the components, without starting them. */
  static async create(options: ClusterOptions): Promise<Cluster> {
    const { settings, logger } = options;
    const { dataFolder, id } = settings;
    const store = dataFolder === undefined
      ? undefined
      : await LedgerStore.open({
        dataFolder,
        onDamaged: (detail) => logger.event("ledgerStoreDamaged", { detail }),
      });
    const randomIncarnation = randomBytes(INCARNATION_BYTES).toString("hex");
    const process = `${id}#${store?.incarnation ?? randomIncarnation}`;
    return new Cluster(options, { process, store });
  }

  /**
   * Gets the instances to which presence is sent; undefined for all peers.
   *
   * Control instances and members of the ledger's view send heartbeats to all
   * peers. Other instances send them to the members only, so that the number of
   * heartbeats does not grow with the square of the number of instances.
   */
  #getPresenceRecipients(process: string): readonly string[] | undefined {
    const { view, driver } = this.control;
    if (view === undefined || driver !== undefined) return undefined;
    const members = [view.primary, ...view.backups];
    if (members.includes(process)) return undefined;
    return members.map((member) => instanceOfProcess(member));
  }

  /** Connects to the peers and starts the control log. */
  async start(): Promise<void> {
    await this.hub.start();
    await this.control.start();
  }

  /**
   * Transfers leadership of the control log, and waits until the ledger has
   * another primary. Waits only if a peer of the data centre is present, and
   * no longer than the timeout.
   */
  async transferLeadership(): Promise<void> {
    this.#isDraining = true;
    this.control.driver?.transferLeadership();
    const deadline = performance.now() + LEADERSHIP_TRANSFER_TIMEOUT_MS;
    const hasLocalPeer = this.hub.localPeers
      .some((peer) => this.hub.isPresent(peer.id));
    while (hasLocalPeer && performance.now() < deadline) {
      if (!this.ledger.isPrimary) return;
      await new Promise((resolve) =>
        setTimeout(resolve, LEADERSHIP_POLL_INTERVAL_MS)
      );
    }
  }

  /** Announces that this instance has lost all targets, or no longer. */
  setCutOff(isCutOff: boolean): this {
    this.#isCutOff = isCutOff;
    this.hub.announce();
    return this;
  }

  /** Stops all components. */
  async stop(): Promise<void> {
    await this.ledger.stop();
    await this.control.stop();
    this.hub.stop();
  }
}

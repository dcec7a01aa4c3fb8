/** The parts by which an instance takes part in a system of several. */
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
  /** Settings of the instance. */
  readonly settings: Settings;
  /** One life of the process. */
  readonly incarnation: string;
  /** Logs. */
  readonly logger: Logger;
  /** Metrics. */
  readonly metrics: Metrics;
}

const INCARNATION_BYTES = 4;
const HANDOVER_TIMEOUT_MS = 5_000;
const HANDOVER_POLL_MS = 50;

/** Owns links, control log and ledger of an instance. */
export class Cluster {
  /** Links. */
  readonly hub: PeerHub;
  /** Control log. */
  readonly control: ControlTask;
  /** Ledger. */
  readonly ledger: LedgerTask;
  #isDraining = false;

  private constructor(
    options: ClusterOptions,
    parts: { process: string; store: LedgerStore | undefined },
  ) {
    const { settings, logger, metrics, incarnation } = options;
    const { process, store } = parts;
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
      }),
      audience: () => this.#audience(process),
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

  /** Opens the stores and creates the parts; none runs yet. */
  static async create(options: ClusterOptions): Promise<Cluster> {
    const { settings, logger } = options;
    const { dataFolder, id } = settings;
    const store = dataFolder === undefined
      ? undefined
      : await LedgerStore.open({
        dataFolder,
        onDamaged: (detail) => logger.event("ledgerStoreDamaged", { detail }),
      });
    const life = randomBytes(INCARNATION_BYTES).toString("hex");
    const process = `${id}#${store?.incarnation ?? life}`;
    return new Cluster(options, { process, store });
  }

  /**
   * Members of the ledger's view and control instances tell everyone that
   * they are there; the others tell only the members, so that signs of life
   * do not grow with the square of the instances.
   */
  #audience(process: string): readonly string[] | undefined {
    const { view, driver } = this.control;
    if (view === undefined || driver !== undefined) return undefined;
    const members = [view.primary, ...view.backups];
    if (members.includes(process)) return undefined;
    return members.map((member) => instanceOfProcess(member));
  }

  /** Listens, dials and runs. */
  async start(): Promise<void> {
    await this.hub.start();
    await this.control.start();
  }

  /** Hands leadership of log and ledger over, as far as others are there. */
  async handOver(): Promise<void> {
    this.#isDraining = true;
    this.control.driver?.yieldLeadership();
    const until = performance.now() + HANDOVER_TIMEOUT_MS;
    const hasNeighbour = this.hub.neighbours
      .some((peer) => this.hub.isPresent(peer.id));
    while (hasNeighbour && performance.now() < until) {
      if (!this.ledger.isPrimary) return;
      await new Promise((resolve) => setTimeout(resolve, HANDOVER_POLL_MS));
    }
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    await this.ledger.stop();
    await this.control.stop();
    this.hub.stop();
  }
}

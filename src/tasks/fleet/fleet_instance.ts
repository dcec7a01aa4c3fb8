/** What every instance of a fleet has, and how it starts and stops. */
import { statSync } from "node:fs";
import type { FleetMember } from "../../core/fleet/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { type FleetSettings, loadFleetSettings } from "../../settings/mod.ts";
import { MetricsServer } from "../metrics_server.ts";
import { FleetNode } from "./fleet_node.ts";

/** What a role adds to an instance. */
export interface RoleTask {
  describe(): Omit<FleetMember, "name" | "dataCentre" | "role">;
  start(): Promise<void>;
  /** Ends what was begun; takes at most the time to drain. */
  drain(): Promise<void>;
}

/** Creates the role of an instance. */
export type RoleFactory = (node: FleetNode) => RoleTask;

/** Lines of each event; a step of many items comes at once. */
const LOG_BUDGET = { linesPerS: 200, burst: 1_000 } as const;
const WATCH_INTERVAL_MS = 2_000;

/** Owns one instance from its start to its end. */
export class FleetInstance {
  readonly #file: string;
  readonly #node: FleetNode;
  readonly #role: RoleTask;
  readonly #logger: Logger;
  readonly #metricsServer: MetricsServer;
  #readAt: number;
  #watch: NodeJS.Timeout | undefined;

  /** Creates the instance that a settings file describes. */
  constructor(file: string, roles: Readonly<Record<string, RoleFactory>>) {
    this.#file = file;
    const settings = loadFleetSettings(file);
    this.#readAt = modifiedAt(file);
    const metrics = new Metrics({ tags: { instance: settings.name } });
    this.#metricsServer = new MetricsServer(metrics);
    this.#logger = new Logger({
      instance: settings.name,
      level: settings.logLevel,
      budget: LOG_BUDGET,
    });
    this.#node = new FleetNode({
      settings,
      logger: this.#logger,
      metrics,
      describe: () => this.#role.describe(),
    });
    this.#role = roles[settings.role](this.#node);
  }

  /** Starts, and stops when the process is told to. */
  async run(): Promise<void> {
    const { settings } = this.#node;
    this.#logger.event("fleetJoined", {
      role: settings.role,
      dataCentre: settings.dataCentre,
      seeds: settings.seeds,
      isFirstStart: settings.isFirstStart,
    });
    const stopped = new Promise<void>((resolve) => {
      process.once("SIGTERM", () => resolve());
      process.once("SIGINT", () => resolve());
    });
    process.on("SIGHUP", () => this.#reload());
    this.#watch = setInterval(() => this.#reloadIfChanged(), WATCH_INTERVAL_MS);
    await this.#node.start();
    if (settings.metrics) await this.#metricsServer.listen(settings.metrics);
    await this.#role.start();
    await stopped;
    this.#logger.event("instanceDraining");
    clearInterval(this.#watch);
    this.#node.drain();
    await this.#role.drain();
    this.#node.stop();
    this.#metricsServer.close();
    this.#logger.event("instanceStopped");
  }

  #reloadIfChanged(): void {
    if (modifiedAt(this.#file) !== this.#readAt) this.#reload();
  }

  /** Only the first contacts may change while the instance runs. */
  #reload(): void {
    this.#readAt = modifiedAt(this.#file);
    let settings: FleetSettings;
    try {
      settings = loadFleetSettings(this.#file);
    } catch (err) {
      const detail = (err as Error).message;
      this.#logger.event("fleetSettingsFaulty", { detail });
      return;
    }
    this.#node.setSeeds(settings.seeds);
    this.#logger.event("fleetSettingsRead", { seeds: settings.seeds });
  }
}

function modifiedAt(file: string): number {
  try {
    return statSync(file).mtimeMs;
  } catch {
    // A file that is being replaced is read when it is there again.
    return 0;
  }
}

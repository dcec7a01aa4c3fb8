/** Start, reload and shutdown of an instance of any role. */
import { statSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetMember } from "../../core/fleet/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import {
  FaultyFileError,
  type FleetSettings,
  loadFleetSettings,
} from "../../settings/mod.ts";
import { MetricsServer } from "../metrics_server.ts";
import { FleetNode } from "./fleet_node.ts";
import type { ProcessEnd } from "./process_end.ts";
import { ProcessMarker } from "./process_marker.ts";
import type { ProcessSignals } from "./process_signals.ts";
import { ProcessUsage } from "./process_usage.ts";
import { readProgramBuild } from "./program_build.ts";
import { RuntimeGauges } from "./runtime_gauges.ts";

/** Work of an instance that is specific to its role. */
export interface RoleTask {
  describe(): Omit<FleetMember, "name" | "dataCentre" | "role">;
  /**
   * Starts the role's tasks and listeners; resolves once all listen.
   * @param linked - Resolves once the instance listens for the others.
   * @throws ListenError if an address cannot be used.
   */
  start(linked: Promise<void>): Promise<void>;
  /** Completes work in progress, within the drain timeout at most. */
  drain(): Promise<void>;
}

/** Creates the task of an instance's role. */
export type RoleFactory = (node: FleetNode) => RoleTask;

/** Options of {@link FleetInstance}. */
export interface FleetInstanceOptions {
  /** Factories of the roles. */
  readonly roles: Readonly<Record<string, RoleFactory>>;
  /** Signals of the process. */
  readonly signals: ProcessSignals;
}

/** Settings and the file that they were read from. */
interface LoadedSettings {
  readonly file: string;
  readonly settings: FleetSettings;
  /** Time of the file's last change before it was read. */
  readonly modifiedMs: number;
}

/** Rate limit of log lines per event; a step with many items logs in bursts. */
const LOG_RATE_LIMIT = { linesPerS: 200, burst: 1_000 } as const;
const WATCH_INTERVAL_MS = 2_000;
/** Time in which another program replaces the settings file. */
const REPLACEMENT_MS = 2_000;
const REREAD_INTERVAL_MS = 100;

/** Runs one instance until the process is asked to stop. */
export class FleetInstance {
  readonly #file: string;
  readonly #signals: ProcessSignals;
  readonly #node: FleetNode;
  readonly #role: RoleTask;
  readonly #logger: Logger;
  readonly #metricsServer: MetricsServer;
  readonly #gauges: RuntimeGauges;
  #loadedModifiedMs: number;
  #watchTimer: NodeJS.Timeout | undefined;

  /**
   * Creates an instance from its settings file. A file that is missing or
   * invalid may be one that is being replaced, and is read again.
   * @throws FaultyFileError if it stays so for 2 s.
   */
  static async create(
    file: string,
    options: FleetInstanceOptions,
  ): Promise<FleetInstance> {
    const endsAt = performance.now() + REPLACEMENT_MS;
    for (;;) {
      const modifiedMs = getModifiedMs(file);
      try {
        const settings = loadFleetSettings(file);
        return new FleetInstance({ file, settings, modifiedMs }, options);
      } catch (err) {
        const isLast = performance.now() >= endsAt;
        if (isLast || !(err instanceof FaultyFileError)) throw err;
      }
      await sleep(REREAD_INTERVAL_MS);
    }
  }

  private constructor(
    { file, settings, modifiedMs }: LoadedSettings,
    options: FleetInstanceOptions,
  ) {
    this.#file = file;
    this.#signals = options.signals;
    this.#loadedModifiedMs = modifiedMs;
    const metrics = new Metrics({ tags: { instance: settings.name } });
    this.#metricsServer = new MetricsServer(metrics);
    this.#logger = new Logger({
      instance: settings.name,
      level: settings.logLevel,
      budget: LOG_RATE_LIMIT,
    });
    this.#gauges = new RuntimeGauges({
      usage: new ProcessUsage(),
      metrics,
      logger: this.#logger,
      memoryMb: settings.limits.memoryMb,
      contactMs: settings.times.contactMs,
      now: () => performance.now(),
    });
    this.#node = new FleetNode({
      settings,
      logger: this.#logger,
      metrics,
      describe: () => this.#role.describe(),
    });
    this.#role = options.roles[settings.role](this.#node);
  }

  /** Sets what the line of the process's end names, and what it leaves. */
  prepareEnd(end: ProcessEnd): this {
    const { settings, logger } = this.#node;
    const build = readProgramBuild();
    const marker = new ProcessMarker({ settings, logger, build }).begin();
    end.setInstance(settings.name).onLogged(() => marker.end());
    return this;
  }

  /**
   * Starts the instance; drains and stops it when a signal asks for that.
   */
  async run(): Promise<void> {
    const { settings } = this.#node;
    this.#logger.event("fleetJoined", {
      role: settings.role,
      dataCentre: settings.dataCentre,
      seeds: settings.seeds,
      isFirstStart: settings.isFirstStart,
    });
    this.#gauges.start();
    this.#signals.onReload(() => this.#reload());
    this.#watchTimer = setInterval(
      () => this.#reloadIfChanged(),
      WATCH_INTERVAL_MS,
    );
    if (settings.metrics) {
      this.#metricsServer.listen(settings.metrics, this.#logger);
    }
    const { stopped } = this.#signals;
    const started = this.#role.start(this.#node.start());
    await Promise.race([stopped, started.then(() => stopped)]);
    this.#logger.event("instanceDraining");
    clearInterval(this.#watchTimer);
    this.#node.drain();
    await this.#role.drain();
    this.#node.stop();
    this.#gauges.stop();
    this.#metricsServer.close();
    this.#logger.event("instanceStopped");
  }

  #reloadIfChanged(): void {
    if (getModifiedMs(this.#file) !== this.#loadedModifiedMs) this.#reload();
  }

  /** Reloads the seeds; all other settings take effect at the next start. */
  #reload(): void {
    this.#loadedModifiedMs = getModifiedMs(this.#file);
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

function getModifiedMs(file: string): number {
  try {
    return statSync(file).mtimeMs;
  } catch {
    // The file is missing while it is being replaced; the modification time of
    // the new one triggers a reload.
    return 0;
  }
}

/** One instance: its tasks and their life. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { ConfigurationView, SECTION_NAMES } from "../core/configuration/mod.ts";
import type { CommandAnswer, ControlCommand } from "../core/control/mod.ts";
import type { KeyRecord } from "../core/keys/mod.ts";
import { ExpectedTimePicker, TargetPhase } from "../core/routing/mod.ts";
import { Logger } from "../logging/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import {
  loadDocument,
  readJsonOrThrow,
  readSecretOrThrow,
  type Settings,
} from "../settings/mod.ts";
import type { ControlPort } from "./control/control_port.ts";
import { LocalControl } from "./control/local_control.ts";
import {
  type AccessTokens,
  CallOnce,
  CallTask,
  HttpServer,
  OperatorHandlers,
  RouteHandlers,
} from "./entry/mod.ts";
import type { LedgerPort } from "./ledger/ledger_port.ts";
import { LocalLedger } from "./ledger/local_ledger.ts";
import { StepTask, UsageMeter } from "./steps/mod.ts";
import { DispatchTask, ProbeTask } from "./targets/mod.ts";

/** Time between two writes of usage to the ledger, in milliseconds. */
const USAGE_INTERVAL_MS = 1_000;

/**
 * Runs one instance.
 *
 * @example
 * ```ts
 * const instance = new Instance(loadSettings("nl-1-a.json"));
 * const port = await instance.start();
 * await instance.drain();
 * ```
 */
export class Instance {
  readonly #settings: Settings;
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #incarnation = randomUUID().slice(0, 8);
  readonly #control: ControlPort = new LocalControl();
  readonly #ledger: LedgerPort = new LocalLedger();
  readonly #usage = new UsageMeter();
  readonly #dispatch: DispatchTask;
  readonly #probes: ProbeTask;
  readonly #calls: CallTask;
  readonly #steps: StepTask;
  readonly #server: HttpServer;
  #usageTimer: NodeJS.Timeout | undefined;

  /** Creates the tasks of an instance; none listens yet. */
  constructor(settings: Settings) {
    this.#settings = settings;
    this.#logger = new Logger({
      instance: settings.id,
      level: settings.logLevel,
    });
    this.#metrics = new Metrics({
      receiver: settings.metrics,
      tags: { instance: settings.id, dataCentre: settings.dataCentre },
    });
    this.#dispatch = this.#createDispatch();
    this.#probes = new ProbeTask({
      dispatch: this.#dispatch,
      logger: this.#logger,
      now: Date.now,
      intervalMs: settings.targets.probeIntervalMs,
      ttlMs: settings.targets.announceTtlMs,
    });
    this.#steps = this.#createSteps();
    this.#calls = this.#createCalls();
    this.#server = this.#createServer();
    this.#control.onApplied((command, answer) =>
      this.#onApplied(command, answer)
    );
  }

  /** Starts to listen and gets the port of callers. */
  async start(): Promise<number> {
    await this.#bootstrap();
    this.#usageTimer = setInterval(() => this.#writeUsage(), USAGE_INTERVAL_MS);
    const port = await this.#server.listen();
    this.#logger.event("instanceStarted", { port });
    return port;
  }

  /** Answers what has arrived, then stops. */
  async drain(): Promise<void> {
    this.#logger.event("instanceDraining");
    await this.#server.drain();
    await this.stop();
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    clearInterval(this.#usageTimer);
    await this.#writeUsage();
    this.#probes.stop();
    this.#steps.stop();
    await this.#dispatch.stop();
    this.#server.stop();
    await this.#metrics.close();
    this.#logger.event("instanceStopped");
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
      logger: this.#logger,
      metrics: this.#metrics,
      now: Date.now,
      targetCredential: secretOf(targetCredentialFile),
      probeTimeoutMs: targets.probeTimeoutMs,
      onSuspicion: (change) => {
        this.#ledger.append({ type: "suspicion", change })
          .catch((err) => this.#logger.error(err));
      },
    });
  }

  #createSteps(): StepTask {
    return new StepTask({
      ledger: this.#ledger,
      control: this.#control.state,
      dispatch: this.#dispatch,
      usage: this.#usage,
      logger: this.#logger,
      metrics: this.#metrics,
      now: Date.now,
      incarnation: this.#incarnation,
    });
  }

  #createCalls(): CallTask {
    return new CallTask({
      dispatch: this.#dispatch,
      once: new CallOnce({
        ledger: this.#ledger,
        owner: `${this.#settings.id}#${this.#incarnation}`,
        now: Date.now,
      }),
      usage: this.#usage,
      metrics: this.#metrics,
      now: Date.now,
      maxAnswerBytes: this.#settings.http.maxAnswerBytes,
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
        steps: this.#steps,
        now: Date.now,
      }),
      operators: new OperatorHandlers({
        settings,
        tokens,
        control: this.#control,
        ledger: this.#ledger,
        dispatch: this.#dispatch,
        probes: this.#probes,
        metrics: this.#metrics,
        awaitForce: () => Promise.resolve({ isInForce: true, awaited: [] }),
        status: () => ({ incarnation: this.#incarnation }),
      }),
      logger: this.#logger,
      metrics: this.#metrics,
      secure: callers === undefined ? undefined : {
        cert: readFileSync(callers.certFile),
        key: readFileSync(callers.keyFile),
      },
    });
  }

  #view(): ConfigurationView {
    const { document, revision } = this.#control.state.configuration;
    return new ConfigurationView(document, revision);
  }

  async #bootstrap(): Promise<void> {
    const { bootstrap } = this.#settings;
    const { configuration } = this.#control.state;
    if (bootstrap === undefined || configuration.revision > 0) return;
    const document = loadDocument(bootstrap.configurationFile);
    const base = Object.fromEntries(SECTION_NAMES.map((name) => [name, 0]));
    await this.#control.propose({
      type: "changeConfiguration",
      change: { requestId: "bootstrap", sections: document, base },
    });
    if (bootstrap.keysFile === undefined) return;
    for (const key of readJsonOrThrow(bootstrap.keysFile) as KeyRecord[]) {
      await this.#control.propose({ type: "putKey", key });
    }
  }

  #onApplied(command: ControlCommand, answer: CommandAnswer): void {
    if (command.type === "withdrawKey") {
      this.#logger.event("keyWithdrawn", { key: command.id });
      this.#calls.onKeyWithdrawn(command.id);
      this.#steps.onKeyWithdrawn(command.id)
        .catch((err) => this.#logger.error(err));
    }
    if (command.type === "announceWeights" && answer.type === "done") {
      const { model, version } = command;
      this.#logger.event("weightsAnnounced", { model, version });
      this.#steps.onWeights(model, version);
    }
    if (answer.type === "applied") {
      this.#logger.event("configurationApplied", { revision: answer.revision });
      this.#dispatch.reconfigure();
    }
  }

  async #writeUsage(): Promise<void> {
    const targets = this.#dispatch.dispatcher.targets.list();
    const serving = targets.filter((t) => t.phase === TargetPhase.Serving);
    this.#metrics.gauge("targets.serving", serving.length);
    const entries = this.#usage.take();
    if (entries.length === 0) return;
    try {
      await this.#ledger.append({ type: "usage", entries });
    } catch (err) {
      this.#usage.putBack(entries);
      this.#logger.error(err);
    }
  }
}

function secretOf(file: string | undefined): string | undefined {
  return file === undefined ? undefined : readSecretOrThrow(file);
}

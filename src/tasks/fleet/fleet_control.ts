/** The control log of a fleet, and what its instances tell the others. */
import { UsageBook, type UsageWindows } from "../../core/calls/mod.ts";
import { instanceOf } from "../../core/consensus/mod.ts";
import {
  type FleetAnswer,
  type FleetCommand,
  type FleetNotice,
  FleetRole,
  type FleetSnapshot,
  FleetState,
  wantedVoters,
} from "../../core/fleet/mod.ts";
import {
  findPolicyFaults,
  type PolicyDocument,
} from "../../core/policy/mod.ts";
import {
  type LoadedVersion,
  RegistryChange,
  TargetRegistry,
  type TargetReport,
} from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { LogService, LogStore } from "../log/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import { FleetTeller } from "./fleet_teller.ts";
import { fleetLogOptions } from "./fleet_log.ts";
import { logTargetChanged } from "./target_log.ts";

/** Options of {@link FleetControl}. */
export interface FleetControlOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  /** Gets a clock that counts time in which the machine stood still. */
  readonly now: () => number;
  /** Hears of the begin and end of leading. */
  readonly onRole: (isLeader: boolean) => void;
  /** Hears that the state or the targets have changed. */
  readonly onChanged: () => void;
}

/** Asks which policy is in force, and tells what was used. */
export interface PolicyQuestion {
  /** Revision that the asker holds. */
  readonly revision: number;
  readonly instance: string;
  /** One life of the asker's process. */
  readonly life: string;
  readonly usage: UsageWindows;
}

/** Answer to an instance that asks which policy is in force. */
export interface PolicyConfirmation {
  readonly revision: number;
  /** The document, where the asker holds an older one. */
  readonly document: PolicyDocument | undefined;
}

/** Names of the calls between instances. */
export const FleetMethod = {
  Propose: "fleet.propose",
  Confirm: "fleet.confirm",
  Read: "fleet.read",
} as const;

/** Name of the control log and of its folder. */
export const FLEET_LOG = "fleet";

const CONFIRM_MS = 800;
const ANSWER_MS = 900;
const TELL_INTERVAL_MS = 200;

type Service = LogService<
  FleetCommand,
  FleetSnapshot,
  FleetAnswer,
  FleetState
>;

/** Owns a replica of the control log and the registered targets. */
export class FleetControl {
  /** Targets that have registered here or at another control instance. */
  readonly registry = new TargetRegistry();
  /** Requests begun, as entry instances tell them. */
  readonly usage = new UsageBook();
  readonly #options: FleetControlOptions;
  readonly #service: Service;
  readonly #teller: FleetTeller;
  #timer: NodeJS.Timeout | undefined;

  /** Creates the task; it does not run yet. */
  constructor(options: FleetControlOptions) {
    this.#options = options;
    this.#service = this.#createService();
    const { node } = options;
    this.#teller = new FleetTeller({
      node,
      registry: this.registry,
      state: () => this.state,
      leadsTerm: () => this.leadsTerm,
      now: options.now,
    });
    node
      .onLog(FLEET_LOG, (message) => this.#service.receive(message as never));
    node.hub
      .handle(
        FleetMethod.Propose,
        (params) => this.#service.propose(params as FleetCommand),
      )
      .handle(
        FleetMethod.Confirm,
        (params) => this.#confirm(params as PolicyQuestion),
      )
      .handle(FleetMethod.Read, () => this.#read());
    node.onNotice = (notice) => this.#onNotice(notice);
  }

  /** Gets the state as far as it has been applied here. */
  get state(): FleetState {
    return this.#service.state;
  }

  /** Gets the replica's identity. */
  get replica(): string | undefined {
    return this.#service.driver.replica;
  }

  /** Gets the term that this replica leads. */
  get leadsTerm(): number | undefined {
    return this.#service.leadsTerm;
  }

  /** Gets the time at which this replica began to lead. */
  get leaderSince(): number {
    return this.#service.driver.leaderSince;
  }

  /** Gets until when this leader may act alone, by the lease clock. */
  get leaseEnd(): number {
    const { now } = this.#options;
    return this.#service.driver.node?.leaseEnd(now()) ?? -Infinity;
  }

  /** Opens the store and runs; a first start creates the log. */
  async start(): Promise<void> {
    const { node, dataFolder } = this.#options;
    const { id, seeds, isFirstStart } = node.settings;
    if (isFirstStart && seeds.includes(id)) {
      await LogStore.init<FleetCommand, FleetSnapshot>({
        dataFolder,
        name: FLEET_LOG,
        emptyState: new FleetState().save(),
        instances: seeds,
      });
    }
    await this.#service.driver.start();
    this.#timer = setInterval(() => this.#upkeep(), TELL_INTERVAL_MS);
  }

  /** Hands the lead over and stops. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#service.stop();
  }

  /**
   * Puts a policy into force; one that is not newer changes nothing.
   * @throws RefusalError with every fault of an invalid document.
   */
  async replacePolicy(document: PolicyDocument, source: string): Promise<void> {
    const faults = findPolicyFaults(document);
    if (faults.length > 0) {
      const { revision } = document;
      this.#options.node.logger.event("policyRefused", { revision, faults });
      throw new RefusalError(
        RefusalReason.ConfigurationInvalid,
        Verdict.NotRun,
        { message: faults.join("; ") },
      );
    }
    await this.propose({ type: "replacePolicy", document, source });
  }

  /** Gets the newest policy as it was sent; undefined before the first. */
  async readPolicy(): Promise<string | undefined> {
    if (this.leadsTerm !== undefined) return (await this.#read()).source;
    const answer = await this.#options.node.askLeader(
      FleetRole.Control,
      FleetMethod.Read,
      { params: {}, timeoutMs: ANSWER_MS },
    );
    return (answer as { source: string | undefined }).source;
  }

  /** Takes in a report of a target and tells the others. */
  report(report: TargetReport): void {
    this.#merge(report);
    this.#teller.shareReport(report);
  }

  /** Records that a target has left, and tells the others. */
  removeTarget(id: string, incarnation: number | undefined): void {
    const { now } = this.#options;
    const known = this.registry.get(id)?.report;
    if (!this.registry.remove(id, incarnation, now())) return;
    const gone = this.registry.get(id)?.report;
    if (gone === undefined) return;
    this.#onTargetChanged(gone, known);
    this.#teller.shareReport(gone);
  }

  /** Records that a target has loaded weights, and tells the others. */
  learnVersion(loaded: LoadedVersion): void {
    this.registry.learnVersion(loaded);
    this.#teller.onLoad("loaded", loaded);
  }

  /** Tells that a target has been ordered to load weights. */
  tellLoading(loading: LoadedVersion): void {
    this.#teller.onLoad("loading", loading);
  }

  /** Proposes a command here or at the leader. */
  async propose(command: FleetCommand): Promise<FleetAnswer> {
    if (this.leadsTerm !== undefined) {
      return await within(this.#service.propose(command), ANSWER_MS);
    }
    return await this.#options.node.askLeader(
      FleetRole.Control,
      FleetMethod.Propose,
      { params: command, timeoutMs: ANSWER_MS },
    ) as FleetAnswer;
  }

  #createService(): Service {
    const { node, dataFolder, now } = this.#options;
    const { settings, hub } = node;
    return new LogService({
      ...fleetLogOptions(node, FLEET_LOG),
      dataFolder,
      createState: () => new FleetState(),
      wantedVoters: () => {
        const members = this.#service.driver.node?.members.voters.length ?? 0;
        return wantedVoters(Math.max(this.#present().length, members));
      },
      now,
      present: () => this.#present(),
      isGone: (replica) =>
        hub.absentMs(instanceOf(replica)) > settings.times.contactMs &&
        instanceOf(replica) !== settings.id,
      onApplied: (command, answer) => this.#onApplied(command, answer),
      onRestored: () => this.#options.onChanged(),
      onRole: (isLeader) => {
        this.#options.onRole(isLeader);
        hub.announce();
      },
    });
  }

  #present(): string[] {
    const others = this.#options.node.present(FleetRole.Control)
      .map(({ member }) => member.replica);
    return [this.replica, ...others].filter((id) => id !== undefined);
  }

  async #confirm(question: PolicyQuestion): Promise<PolicyConfirmation> {
    const { revision, instance, life, usage } = question;
    this.usage.learn(`${instance}/${life}`, usage);
    await this.#service.confirmLead(CONFIRM_MS);
    const { policy, policyRevision } = this.state;
    return {
      revision: policyRevision,
      document: policyRevision > revision ? policy : undefined,
    };
  }

  async #read(): Promise<{ source: string | undefined }> {
    await this.#service.confirmLead(CONFIRM_MS);
    return { source: this.state.policySource };
  }

  #onApplied(command: FleetCommand, answer: FleetAnswer): void {
    if (command.type === "replacePolicy") {
      const { revision } = command.document;
      const isNew = answer.type === "done";
      const { logger } = this.#options.node;
      logger.event("policyAccepted", { revision, isNew });
      if (isNew) this.#teller.onPolicy();
    }
    if (command.type === "announceWeights" && answer.type === "done") {
      const { model, version } = command;
      this.#options.node.logger.event("weightsNamed", { model, version });
    }
    this.#options.onChanged();
  }

  #onNotice(notice: FleetNotice): void {
    if (notice.type === "loaded") this.registry.learnVersion(notice);
    if (notice.type !== "targets") return;
    for (const report of notice.reports) this.#merge(report);
  }

  #merge(report: TargetReport): void {
    const known = this.registry.get(report.id)?.report;
    const change = this.registry.merge(report, this.#options.now());
    if (change === RegistryChange.Changed) this.#onTargetChanged(report, known);
  }

  #onTargetChanged(
    report: TargetReport,
    known: TargetReport | undefined,
  ): void {
    const { node, onChanged } = this.#options;
    logTargetChanged(node.logger, report);
    this.#teller.onTarget(report, known);
    onChanged();
  }

  #upkeep(): void {
    const { node, now } = this.#options;
    this.registry.prune(now());
    this.#service.measure();
    node.metrics.gauge("policy.revision", this.state.policyRevision);
    this.#teller.tellAll();
  }
}

/** Gives up waiting in time for the asker to hear of it. */
async function within<T>(promise: Promise<T>, timeoutMs: number): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(
      () =>
        reject(
          new RefusalError(
            RefusalReason.ControlUnavailable,
            Verdict.MayHaveRun,
            { message: "Not stored in time", retryAfterMs: timeoutMs },
          ),
        ),
      timeoutMs,
    );
  });
  try {
    return await Promise.race([promise, late]);
  } finally {
    clearTimeout(timer);
  }
}

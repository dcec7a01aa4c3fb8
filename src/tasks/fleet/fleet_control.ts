/** The replicated control log of a control instance. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseRelays } from "../../core/paths/mod.ts";
import { UsageTotals, type UsageWindows } from "../../core/calls/mod.ts";
import { instanceOf } from "../../core/consensus/mod.ts";
import {
  type FleetCommand,
  type FleetCommandResult,
  FleetRole,
  type FleetSnapshot,
  FleetState,
  type SuspicionUpdate,
  wantedVoters,
} from "../../core/fleet/mod.ts";
import {
  PermitDesk,
  type PermitReply,
  type PermitRequest,
} from "../../core/limits/mod.ts";
import {
  findPolicyFaults,
  type PolicyDocument,
} from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { LogService, LogStore } from "../log/mod.ts";
import { settleWithin } from "../settle.ts";
import type { FleetNode } from "./fleet_node.ts";
import { FleetPublisher } from "./fleet_publisher.ts";
import { createLogOptions } from "./fleet_log.ts";
import { TargetDirectory } from "./target_directory.ts";

/** Options of {@link FleetControl}. */
export interface FleetControlOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  /**
   * Gets monotonic time in milliseconds, which includes time in which the
   * machine was suspended.
   */
  readonly now: () => number;
  /** Called when this replica gains or loses leadership. */
  readonly onRole: (isLeader: boolean) => void;
  /** Called when the applied state or a target has changed. */
  readonly onChanged: () => void;
}

/** Request to confirm the policy in force; it carries the usage counts. */
export interface ConfirmPolicyRequest {
  /** Revision that the requesting instance has applied. */
  readonly revision: number;
  readonly instance: string;
  /** Incarnation of the requesting process: a new value at each start. */
  readonly life: string;
  readonly usage: UsageWindows;
  /** Changes of suspicions applied there; undefined if it needs none. */
  readonly suspicionVersion: number | undefined;
}

/** Reply to a {@link ConfirmPolicyRequest}. */
export interface ConfirmPolicyReply {
  readonly revision: number;
  /** The policy; undefined if the requesting instance is up to date. */
  readonly document: PolicyDocument | undefined;
  /** All suspicions; undefined if the requesting instance is up to date. */
  readonly suspicions: SuspicionUpdate | undefined;
}

/** Names of the methods that control instances serve. */
export const FleetMethod = {
  Propose: "fleet.propose",
  Confirm: "fleet.confirm",
  Read: "fleet.read",
  Permits: "fleet.permits",
  Relays: "fleet.relays",
} as const;

/** Name of the control log and of its folder. */
export const FLEET_LOG = "fleet";

const CONFIRM_TIMEOUT_MS = 800;
const REQUEST_TIMEOUT_MS = 900;
const MAINTENANCE_INTERVAL_MS = 200;
/** Maximum number of entry instances named to one that needs a relay. */
const MAX_RELAYS = 6;

type FleetLogService = LogService<
  FleetCommand,
  FleetSnapshot,
  FleetCommandResult,
  FleetState
>;

/** Owns a replica of the control log and the directory of targets. */
export class FleetControl {
  /** Targets that have registered with this or another control instance. */
  readonly targets: TargetDirectory;
  /** Started requests, as reported by the entry instances. */
  readonly usageTotals = new UsageTotals();
  readonly #options: FleetControlOptions;
  readonly #service: FleetLogService;
  readonly #publisher: FleetPublisher;
  readonly #permits = new PermitDesk();
  readonly #random = xoroshiro128plus(process.pid ^ Date.now());
  #timer: NodeJS.Timeout | undefined;

  constructor(options: FleetControlOptions) {
    this.#options = options;
    this.#service = this.#createService();
    const { node } = options;
    const registry = new TargetRegistry();
    this.#publisher = new FleetPublisher({
      node,
      registry,
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
        (params) => this.#confirm(params as ConfirmPolicyRequest),
      )
      .handle(FleetMethod.Read, () => this.#read())
      .handle(
        FleetMethod.Permits,
        (params) => this.#grantPermits(params as PermitRequest),
      )
      .handle(FleetMethod.Relays, (_params, from) => this.#findRelays(from));
    this.targets = new TargetDirectory({
      node,
      registry,
      publisher: this.#publisher,
      now: options.now,
      onChanged: options.onChanged,
    });
    node.onNotice = (notice) => this.targets.onNotice(notice);
  }

  /** Gets the state that this replica has applied; it may lag the leader's. */
  get state(): FleetState {
    return this.#service.state;
  }

  /** Gets the ID of the log replica; undefined before it is open. */
  get replica(): string | undefined {
    return this.#service.driver.replica;
  }

  /** Gets the term that this replica leads; undefined unless it leads. */
  get leadsTerm(): number | undefined {
    return this.#service.leadsTerm;
  }

  /** Gets the time at which this replica became leader. */
  get leaderSince(): number {
    return this.#service.driver.leaderSince;
  }

  /**
   * Gets the end of the leader's lease, on the clock of the options. No other
   * replica can be elected before it. It is -Infinity without a lease.
   */
  get leaseEnd(): number {
    const { now } = this.#options;
    return this.#service.driver.node?.leaseEnd(now()) ?? -Infinity;
  }

  /** Opens the log store and joins the log; a seed's first start creates it. */
  async start(): Promise<void> {
    const { node, dataFolder } = this.#options;
    const { id, seeds, isFirstStart } = node.settings;
    if (isFirstStart && seeds.includes(id)) {
      await LogStore.create<FleetCommand, FleetSnapshot>({
        dataFolder,
        name: FLEET_LOG,
        emptyState: new FleetState().save(),
        instances: seeds,
      });
    }
    await this.#service.driver.start();
    this.#timer = setInterval(() => this.#maintain(), MAINTENANCE_INTERVAL_MS);
  }

  /** Transfers leadership and closes the log. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#service.stop();
  }

  /**
   * Proposes a policy; a revision that is not newer has no effect.
   * @throws RefusalError that lists every fault if the document is invalid.
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

  /** Reads the committed policy's source text; undefined if there is none. */
  async readPolicy(): Promise<string | undefined> {
    if (this.leadsTerm !== undefined) return (await this.#read()).source;
    const reply = await this.#options.node.requestLeader(
      FleetRole.Control,
      FleetMethod.Read,
      { params: {}, timeoutMs: REQUEST_TIMEOUT_MS },
    );
    return (reply as { source: string | undefined }).source;
  }

  /**
   * Proposes a command, through the leader if this replica does not lead.
   * @throws RefusalError if it is not committed in time; it may still be.
   */
  async propose(command: FleetCommand): Promise<FleetCommandResult> {
    if (this.leadsTerm !== undefined) {
      return await this.#proposeAsLeader(command);
    }
    return await this.#options.node.requestLeader(
      FleetRole.Control,
      FleetMethod.Propose,
      { params: command, timeoutMs: REQUEST_TIMEOUT_MS },
    ) as FleetCommandResult;
  }

  /** Refuses a command that is not stored before its sender stops waiting. */
  async #proposeAsLeader(command: FleetCommand): Promise<FleetCommandResult> {
    const stored = this.#service.propose(command);
    const settled = await settleWithin(stored, REQUEST_TIMEOUT_MS);
    if (settled.isSettled) return settled.value;
    throw new RefusalError(
      RefusalReason.ControlUnavailable,
      Verdict.MayHaveRun,
      { message: "Not stored in time", retryAfterMs: REQUEST_TIMEOUT_MS },
    );
  }

  #createService(): FleetLogService {
    const { node, dataFolder, now } = this.#options;
    const { settings, hub } = node;
    return new LogService({
      ...createLogOptions(node, FLEET_LOG),
      dataFolder,
      createState: () => new FleetState(),
      wantedVoters: () => {
        const members = this.#service.driver.node?.members.voters.length ?? 0;
        return wantedVoters(Math.max(this.#presentReplicas().length, members));
      },
      now,
      presentReplicas: () => this.#presentReplicas(),
      isLost: (replica) =>
        hub.absentMs(instanceOf(replica)) > settings.times.contactMs &&
        instanceOf(replica) !== settings.id,
      onApplied: (command, result) => this.#onApplied(command, result),
      onRestored: () => this.#options.onChanged(),
      onRole: (isLeader) => {
        this.#options.onRole(isLeader);
        hub.announce();
      },
    });
  }

  #presentReplicas(): string[] {
    const others = this.#options.node.linkedMembers(FleetRole.Control)
      .map(({ member }) => member.replica);
    return [this.replica, ...others].filter((id) => id !== undefined);
  }

  async #confirm(
    request: ConfirmPolicyRequest,
  ): Promise<ConfirmPolicyReply> {
    const { revision, instance, life, usage, suspicionVersion } = request;
    this.usageTotals.record(`${instance}/${life}`, usage);
    await this.#service.confirmLeadership(CONFIRM_TIMEOUT_MS);
    const { policy, policyRevision } = this.state;
    const isBehind = this.state.suspicionVersion >
      (suspicionVersion ?? Infinity);
    return {
      revision: policyRevision,
      document: policyRevision > revision ? policy : undefined,
      suspicions: isBehind ? this.state.suspicions : undefined,
    };
  }

  /**
   * Grants permits for targets that limit their rate.
   * @throws RefusalError unless this replica leads.
   */
  #grantPermits(request: PermitRequest): PermitReply {
    if (this.leadsTerm !== undefined) {
      return this.#permits.grant(request, this.#options.now());
    }
    throw new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun);
  }

  /** Finds entry instances that reach targets and may relay to them. */
  #findRelays(from: string): readonly string[] {
    const { hub } = this.#options.node;
    const candidates = this.#options.node.linkedMembers(FleetRole.Entry)
      .filter(({ id }) => {
        const presence = hub.getPresence(id);
        return id !== from && presence?.isDraining === false &&
          presence.isCutOff !== true;
      })
      .map(({ id, member }) => ({ id, dataCentre: member.dataCentre }));
    return chooseRelays({
      candidates,
      dataCentre: hub.getPresence(from)?.member?.dataCentre ?? "",
      count: MAX_RELAYS,
      random: () => uniformFloat64(this.#random),
    });
  }

  async #read(): Promise<{ source: string | undefined }> {
    await this.#service.confirmLeadership(CONFIRM_TIMEOUT_MS);
    return { source: this.state.policySource };
  }

  #onApplied(command: FleetCommand, result: FleetCommandResult): void {
    if (command.type === "replacePolicy") {
      const { revision } = command.document;
      const isNew = result.type === "done";
      const { logger } = this.#options.node;
      logger.event("policyAccepted", { revision, isNew });
      if (isNew) this.#publisher.schedulePolicy();
    }
    if (command.type === "announceWeights" && result.type === "done") {
      const { model, version } = command;
      this.#options.node.logger.event("weightsNamed", { model, version });
    }
    if (result.type === "done") this.#publishSuspicions(command);
    this.#options.onChanged();
  }

  #publishSuspicions(command: FleetCommand): void {
    const fingerprints = fingerprintsOf(command);
    if (fingerprints.length === 0) return;
    const update = this.state.suspicionsOf(fingerprints);
    const { node } = this.#options;
    node.notifyRole(FleetRole.Entry, { type: "suspicions", ...update });
  }

  #maintain(): void {
    const { node, now } = this.#options;
    this.targets.registry.prune(now());
    this.#service.updateGauges();
    node.metrics.gauge("policy.revision", this.state.policyRevision);
    this.#publisher.resendMissing();
  }
}

/** Gets the fingerprints whose suspicion a command may change. */
function fingerprintsOf(command: FleetCommand): string[] {
  if (command.type === "takeTrial") return [command.fingerprint];
  if (command.type !== "reportRuns") return [];
  const died = command.deaths.map(({ fingerprint }) => fingerprint);
  return [...command.completed, ...died];
}

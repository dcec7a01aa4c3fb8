/** Links of an instance to others, with membership and leader lookup. */
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  ControlContact,
  type FleetMember,
  type FleetNotice,
  FleetRole,
  Roster,
  SenderList,
} from "../../core/fleet/mod.ts";
import {
  type MemoryPlan,
  planConnections,
  planMemory,
} from "../../core/memory/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import {
  decodeNotice,
  instanceIdSchema,
  logEnvelopeSchema,
  refusalTextOf,
} from "../../schemas/mod.ts";
import type { FleetSettings, PeerSettings } from "../../settings/mod.ts";
import { type LogEnvelope, PeerHub } from "../peers/mod.ts";
import { LeaderClient, type LeaderRequestOptions } from "./leader_client.ts";

/** Options of {@link FleetNode}. */
export interface FleetNodeOptions {
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the part of this instance's presence that depends on its role. */
  readonly describe: () => Omit<FleetMember, "name" | "dataCentre" | "role">;
}

/** Number of control instances that other roles keep links to. */
const CONTROL_LINKS = 3;
const MAINTENANCE_INTERVAL_MS = 500;
const INCARNATION_BYTES = 4;
const MB_BYTES = 1_048_576;

/** Owns the links of one instance. */
export class FleetNode {
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** What this process may hold of what others send. */
  readonly memory: MemoryPlan;
  /** Connections that a server of this process may have. */
  readonly maxConnections: number;
  readonly hub: PeerHub;
  readonly roster = new Roster();
  readonly #leaders: LeaderClient;
  readonly #options: FleetNodeOptions;
  #isDraining = false;
  #isStopped = false;
  #isCutOff = false;
  #seeds: readonly string[];
  readonly #senders = new SenderList();
  readonly #contact = new ControlContact();
  #retiring: ReadonlySet<string> = new Set();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: FleetNodeOptions) {
    const { settings, logger, metrics } = options;
    this.#options = options;
    this.settings = settings;
    this.#seeds = settings.seeds;
    this.logger = logger;
    this.metrics = metrics;
    const { memoryMb, maxDescriptors } = settings.limits;
    this.memory = planMemory(memoryMb && memoryMb * MB_BYTES);
    this.maxConnections = planConnections(maxDescriptors);
    const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
    this.hub = new PeerHub({
      settings: {
        id: settings.id,
        dataCentre: settings.dataCentre,
        peers: [],
        peerListen: {
          host: settings.id,
          port: settings.peerListenPort ?? settings.peerPort,
        },
        tls: {},
      },
      findPeer: (id) => this.#resolvePeer(id),
      memory: this.memory,
      logger,
      metrics,
      presence: () => ({
        ledger: settings.id,
        incarnation,
        isDraining: this.#isDraining,
        isCutOff: this.#isCutOff,
        takesBulk: true,
        member: this.#describe(),
      }),
      presenceRecipients: () => undefined,
    });
    this.#leaders = new LeaderClient({
      hub: this.hub,
      leaderOf: (role) => this.leaderOf(role),
      membersOf: (role) =>
        this.roster.membersOf(role, this.now).map((entry) => entry.id),
    });
    this.hub.on("notice", (from, body) => this.#receiveNotice(body, from));
  }

  /** Replaces the control instances that are dialled first. */
  setSeeds(seeds: readonly string[]): this {
    this.#seeds = seeds;
    return this;
  }

  /** Checks whether the instance of a name is being retired. */
  isRetiring(name: string): boolean {
    return this.#retiring.has(name);
  }

  /** Gets the instances that send requests to targets, as far as known. */
  get senders(): readonly string[] {
    return this.#senders.all;
  }

  /**
   * Gets the time for which this instance has not known what the control
   * instances know of targets, in milliseconds; 0 if it does.
   */
  get outdatedMs(): number {
    return this.now - this.#updateContact().knownAt(this.now);
  }

  #updateContact(): ControlContact {
    const [first] = this.linkedMembers(FleetRole.Control);
    return this.#contact.update(first !== undefined, this.now);
  }

  /** Gets monotonic time in milliseconds, by which roster entries expire. */
  get now(): number {
    return performance.now();
  }

  /**
   * Starts listening, dials the seeds and maintains the links.
   *
   * An earlier process of this instance may still hold the address, the stored
   * data and the links. Entry instances, which store nothing, dial without
   * their address after the time in which that process ends.
   * @returns Once it listens.
   * @throws ListenError if the address cannot be used.
   */
  async start(): Promise<void> {
    const { role, times } = this.settings;
    const listening = this.hub.listen();
    const timeout = new AbortController();
    const { signal } = timeout;
    const earlierEnded = role === FleetRole.Entry
      ? sleep(times.graceMs, undefined, { signal })
      : listening;
    try {
      await Promise.race([listening, earlierEnded]);
    } finally {
      timeout.abort();
    }
    if (!this.#isStopped) this.#connect();
    await listening;
  }

  #connect(): void {
    this.hub.connect();
    this.#maintainLinks();
    this.#timer = setInterval(
      () => this.#maintainLinks(),
      MAINTENANCE_INTERVAL_MS,
    );
  }

  /** Announces to the others that this instance drains. */
  drain(): this {
    this.#isDraining = true;
    this.hub.announce();
    return this;
  }

  /** Announces that this instance has lost all targets, or no longer. */
  setCutOff(isCutOff: boolean): this {
    this.#isCutOff = isCutOff;
    this.hub.announce();
    return this;
  }

  /** Closes all links. */
  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.hub.stop();
  }

  /** Gets the linked members of a role, without this instance. */
  linkedMembers(
    role: FleetRole,
  ): readonly { id: string; member: FleetMember }[] {
    const members: { id: string; member: FleetMember }[] = [];
    for (const id of this.hub.presentIds) {
      const member = this.hub.getPresence(id)?.member;
      if (member?.role === role) members.push({ id, member });
    }
    return members;
  }

  /**
   * Gets the instance that leads a role's log, or undefined if none is known.
   * It is the one with the highest term, by presence on links and by the
   * roster.
   */
  leaderOf(role: FleetRole): string | undefined {
    let best: { id: string; term: number } | undefined;
    for (const { id, member } of this.linkedMembers(role)) {
      const term = member.leadsTerm;
      if (term !== undefined && term > (best?.term ?? -1)) best = { id, term };
    }
    const listed = this.roster.leaderOf(role, this.now);
    const isListedLater = (listed?.leadsTerm ?? -1) > (best?.term ?? -1);
    return isListedLater ? listed?.id : best?.id;
  }

  /**
   * Sends a request to the leader of a role's log and retries it at other
   * members while there is no leader. The request must be idempotent.
   * @throws RefusalError from the leader, or if no leader answered in time.
   */
  requestLeader(
    role: FleetRole,
    method: string,
    options: LeaderRequestOptions,
  ): Promise<unknown> {
    return this.#leaders.request(role, method, options);
  }

  /** Subscribes to the messages of a log. */
  onLog(name: string, listener: (message: LogEnvelope["message"]) => void) {
    this.hub.on("log", (from, body) => {
      const { success, error } = logEnvelopeSchema.safeParse(body);
      if (!success) this.hub.refuse(from, `log: ${refusalTextOf(error)}`);
      else if (body.log === name) listener(body.message);
    });
    return this;
  }

  /** Sends a message of a log to an instance; parts of snapshots are large. */
  sendLog(to: string, body: LogEnvelope): void {
    const envelope = { channel: "log", body } as const;
    if (body.message.type === "snapshotPartRequest") {
      this.hub.sendBulk(to, envelope);
    } else this.hub.send(to, envelope);
  }

  /** Sends a notice to instances. */
  notify(to: Iterable<string>, notice: FleetNotice): void {
    this.hub.sendAll(to, { channel: "notice", body: notice });
  }

  /** Sends a notice to the linked members of a role. */
  notifyRole(role: FleetRole, notice: FleetNotice): void {
    this.notify(this.linkedMembers(role).map(({ id }) => id), notice);
  }

  /** Checks whether a notice that is not decoded yet says nothing new. */
  isKnownNotice: (body: unknown) => boolean = () => false;

  /** Called with each notice received, after the roster has been updated. */
  onNotice: (notice: FleetNotice, from: string) => void = () => {};

  #describe(): FleetMember {
    const { name, dataCentre, role } = this.settings;
    return { name, dataCentre, role, ...this.#options.describe() };
  }

  /** Gets how to dial an instance; undefined if its identifier is no address. */
  #resolvePeer(id: string): PeerSettings | undefined {
    if (!instanceIdSchema.safeParse(id).success) return undefined;
    const address = { host: id, port: this.settings.peerPort };
    return { id, dataCentre: "", address, control: false };
  }

  #receiveNotice(body: unknown, from: string): void {
    if (this.isKnownNotice(body)) return;
    const { notice, faults } = decodeNotice(body);
    for (const fault of faults) this.hub.refuse(from, `notice: ${fault}`);
    if (notice !== undefined) this.#onNotice(notice, from);
  }

  #onNotice(notice: FleetNotice, from: string): void {
    if (notice.type === "roster") {
      const hasNew = notice.members.some(({ id }) => !this.roster.isKnown(id));
      this.roster.mergeEntries(notice.members, this.now);
      const isConnected = this.#timer !== undefined;
      if (hasNew && isConnected) this.#maintainLinks();
      this.#retiring = new Set(notice.retiring);
      this.#senders.update(from, notice.senders ?? [], this.now);
    }
    this.onNotice(notice, from);
  }

  #maintainLinks(): void {
    const { id, role } = this.settings;
    this.#updateContact();
    for (const { id: memberId, member } of this.#allLinkedMembers()) {
      this.roster.updateFromMember(memberId, member, this.now);
    }
    for (const expired of this.roster.prune(this.now)) {
      this.hub.dropLink(expired);
    }
    const controls = new Set([
      ...this.#seeds,
      ...this.roster.membersOf(FleetRole.Control, this.now).map((m) => m.id),
    ]);
    controls.delete(id);
    if (role === FleetRole.Control) {
      for (const control of controls) this.#keepMeshLink(control);
      return;
    }
    this.#keepControlLinks([...controls]);
    if (role !== FleetRole.Ledger) return;
    for (const ledger of this.roster.membersOf(FleetRole.Ledger, this.now)) {
      if (ledger.id !== id) this.#keepMeshLink(ledger.id);
    }
  }

  /**
   * Keeps one link to a member of the mesh. If both sides have dialled, the
   * link dialled by the instance with the lower ID is kept.
   */
  #keepMeshLink(other: string): void {
    if (!this.hub.isLinked(other)) this.hub.keepLink(other);
    else if (this.settings.id > other) this.hub.dropRedundantLink(other);
  }

  #keepControlLinks(controls: readonly string[]): void {
    const linked = controls.filter((id) => this.hub.isLinked(id));
    let missing = CONTROL_LINKS - linked.length;
    for (const control of controls) {
      if (missing <= 0) return;
      if (linked.includes(control)) continue;
      this.hub.keepLink(control);
      missing -= 1;
    }
  }

  #allLinkedMembers(): { id: string; member: FleetMember }[] {
    return Object.values(FleetRole).flatMap((
      role,
    ) => [...this.linkedMembers(role)]);
  }
}

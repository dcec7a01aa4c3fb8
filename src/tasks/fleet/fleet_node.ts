/** Links of an instance of a fleet: who is there, who leads, who is told. */
import { randomBytes } from "node:crypto";
import {
  type FleetMember,
  type FleetNotice,
  FleetRole,
  Roster,
} from "../../core/fleet/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { FleetSettings, PeerSettings } from "../../settings/mod.ts";
import { type LogEnvelope, PeerHub } from "../peers/mod.ts";

/** Options of {@link FleetNode}. */
export interface FleetNodeOptions {
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets what the instance's role adds to what it tells of itself. */
  readonly describe: () => Omit<FleetMember, "name" | "dataCentre" | "role">;
}

/** Options of {@link FleetNode.askLeader}. */
export interface AskOptions {
  readonly params: unknown;
  /** Time for all attempts together. */
  readonly timeoutMs: number;
  /** Time for one attempt. */
  readonly attemptMs?: number;
}

/** Control instances to which an instance of another role keeps links. */
const CONTROL_LINKS = 3;
const UPKEEP_INTERVAL_MS = 500;
const RETRY_PAUSE_MS = 60;
const ATTEMPT_MS = 1_200;
const INCARNATION_BYTES = 4;
const RETRY_AFTER_MS = 1_000;

/** Owns the links of one instance of a fleet. */
export class FleetNode {
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly hub: PeerHub;
  readonly roster = new Roster();
  readonly #options: FleetNodeOptions;
  #isDraining = false;
  #seeds: readonly string[];
  #retiring: ReadonlySet<string> = new Set();
  #timer: NodeJS.Timeout | undefined;

  /** Creates the links; none is dialled yet. */
  constructor(options: FleetNodeOptions) {
    const { settings, logger, metrics } = options;
    this.#options = options;
    this.settings = settings;
    this.#seeds = settings.seeds;
    this.logger = logger;
    this.metrics = metrics;
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
      directory: (id) => this.#find(id),
      logger,
      metrics,
      presence: () => ({
        ledger: settings.id,
        incarnation,
        isDraining: this.#isDraining,
        member: this.#describe(),
      }),
      audience: () => undefined,
    });
    this.hub.on("notice", (from, notice) => this.#onNotice(notice, from));
  }

  /** Uses other control instances as first contacts. */
  setSeeds(seeds: readonly string[]): this {
    this.#seeds = seeds;
    return this;
  }

  /** Gets whether an instance, by its name, is being emptied. */
  isRetiring(name: string): boolean {
    return this.#retiring.has(name);
  }

  /** Gets the time by which members are counted, in milliseconds. */
  get now(): number {
    return performance.now();
  }

  /** Listens, dials and keeps up the links. */
  async start(): Promise<void> {
    await this.hub.start();
    this.#keepLinks();
    this.#timer = setInterval(() => this.#keepLinks(), UPKEEP_INTERVAL_MS);
  }

  /** Tells the others that this instance drains. */
  drain(): this {
    this.#isDraining = true;
    this.hub.announce();
    return this;
  }

  /** Ends all links. */
  stop(): void {
    clearInterval(this.#timer);
    this.hub.stop();
  }

  /** Gets the members of a role that are present, this one left out. */
  present(role: FleetRole): readonly { id: string; member: FleetMember }[] {
    const members: { id: string; member: FleetMember }[] = [];
    for (const id of this.hub.presentIds) {
      const member = this.hub.getPresence(id)?.member;
      if (member?.role === role) members.push({ id, member });
    }
    return members;
  }

  /** Gets the instance that leads the log of a role, as far as is known. */
  leaderOf(role: FleetRole): string | undefined {
    let best: { id: string; term: number } | undefined;
    for (const { id, member } of this.present(role)) {
      const term = member.leadsTerm;
      if (term !== undefined && term > (best?.term ?? -1)) best = { id, term };
    }
    const hearsay = this.roster.leaderOf(role, this.now);
    const isLater = (hearsay?.leadsTerm ?? -1) > (best?.term ?? -1);
    return isLater ? hearsay?.id : best?.id;
  }

  /**
   * Asks the leader of a role's log; the question must be safe to repeat.
   * @throws RefusalError of the leader, or where none answered in time.
   */
  async askLeader(
    role: FleetRole,
    method: string,
    options: AskOptions,
  ): Promise<unknown> {
    const endsAt = this.now + options.timeoutMs;
    let failure = unanswered(Verdict.NotRun);
    const tried = new Set<string>();
    while (this.now < endsAt) {
      const id = this.#nextToAsk(role, tried);
      const leftMs = endsAt - this.now;
      if (id !== undefined) {
        try {
          const timeoutMs = Math.min(leftMs, options.attemptMs ?? ATTEMPT_MS);
          const { params } = options;
          return await this.hub.request(id, method, { params, timeoutMs });
        } catch (err) {
          failure = merge(failure, err);
          if (!isRetried(failure)) throw failure;
          tried.add(id);
        }
      }
      await pause(Math.min(RETRY_PAUSE_MS, Math.max(1, endsAt - this.now)));
    }
    throw failure;
  }

  /** Takes the messages of a log. */
  onLog(name: string, listener: (message: LogEnvelope["message"]) => void) {
    this.hub.on("log", (_from, { log, message }) => {
      if (log === name) listener(message);
    });
    return this;
  }

  /** Sends a message of a log. */
  sendLog(to: string, envelope: LogEnvelope): void {
    this.hub.send(to, { channel: "log", body: envelope });
  }

  /** Sends a notice to instances. */
  notify(to: Iterable<string>, notice: FleetNotice): void {
    this.hub.sendAll(to, { channel: "notice", body: notice });
  }

  /** Sends a notice to the members of a role that are present. */
  notifyRole(role: FleetRole, notice: FleetNotice): void {
    this.notify(this.present(role).map(({ id }) => id), notice);
  }

  /** Takes in the notices of others. */
  onNotice: (notice: FleetNotice, from: string) => void = () => {};

  #describe(): FleetMember {
    const { name, dataCentre, role } = this.settings;
    return { name, dataCentre, role, ...this.#options.describe() };
  }

  #find(id: string): PeerSettings {
    const address = { host: id, port: this.settings.peerPort };
    return { id, dataCentre: "", address, control: false };
  }

  #onNotice(notice: FleetNotice, from: string): void {
    if (notice.type === "roster") {
      this.roster.learn(notice.members, this.now);
      this.#retiring = new Set(notice.retiring);
    }
    this.onNotice(notice, from);
  }

  /** Every second question without a known leader goes to another member. */
  #nextToAsk(role: FleetRole, tried: Set<string>): string | undefined {
    const leader = this.leaderOf(role);
    if (leader !== undefined && !tried.has(leader)) return leader;
    const members = this.roster.of(role, this.now)
      .map((entry) => entry.id);
    const next = members.find((id) => !tried.has(id));
    if (next !== undefined) return next;
    tried.clear();
    return leader ?? members[0];
  }

  #keepLinks(): void {
    const { id, role } = this.settings;
    for (const { id: other, member } of this.#allPresent()) {
      this.roster.hear(other, member, this.now);
    }
    for (const forgotten of this.roster.prune(this.now)) {
      this.hub.dropLink(forgotten);
    }
    const controls = new Set([
      ...this.#seeds,
      ...this.roster.of(FleetRole.Control, this.now).map((m) => m.id),
    ]);
    controls.delete(id);
    if (role === FleetRole.Control) {
      for (const control of controls) this.#keepMeshLink(control);
      return;
    }
    this.#keepControlLinks([...controls]);
    if (role !== FleetRole.Ledger) return;
    for (const ledger of this.roster.of(FleetRole.Ledger, this.now)) {
      if (ledger.id !== id) this.#keepMeshLink(ledger.id);
    }
  }

  /** Of two that have dialled each other, the one with the lower id stays. */
  #keepMeshLink(other: string): void {
    if (!this.hub.isLinked(other)) this.hub.keepLink(other);
    else if (this.settings.id > other) this.hub.dropSpareLink(other);
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

  #allPresent(): { id: string; member: FleetMember }[] {
    return Object.values(FleetRole).flatMap((role) => [...this.present(role)]);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function isRetried(err: RefusalError): boolean {
  return err.reason === RefusalReason.ControlUnavailable ||
    err.reason === RefusalReason.LedgerUnavailable;
}

/** An attempt that may have run makes the whole question so. */
function merge(former: RefusalError, err: unknown): RefusalError {
  if (!(err instanceof RefusalError)) {
    return new RefusalError(RefusalReason.Internal, Verdict.MayHaveRun, {
      cause: err,
    });
  }
  if (!isRetried(err) || former.verdict === Verdict.NotRun) return err;
  return former;
}

/** Creates the refusal where nobody leads. */
function unanswered(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "No leader answered",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** The control log as an instance of a system of several sees it. */
import {
  type CommandAnswer,
  type ControlCommand,
  type ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { ConsensusTimes, LogEntry } from "../../core/consensus/mod.ts";
import type { FeedTimes, ForceAnswer } from "../../core/feed/mod.ts";
import { nextView } from "../../core/ledger/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Settings } from "../../settings/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type {
  AppliedListener,
  ControlPort,
  RestoredListener,
} from "./control_port.ts";
import { FeedTask } from "./feed_task.ts";
import { ProposalWaiters, PROPOSE_TIMEOUT_MS } from "../log/mod.ts";
import { type ControlDriver, createControlDriver } from "./control_driver.ts";

/** Options of {@link ControlTask}. */
export interface ControlTaskOptions {
  /** Settings of the instance. */
  readonly settings: Settings;
  /** This process, as views of the ledger name it. */
  readonly process: string;
  /** Links. */
  readonly hub: PeerHub;
  /** Logs. */
  readonly logger: Logger;
  /** Gets the local, steady clock in milliseconds. */
  readonly now: () => number;
  /** Gets whether this instance drains. */
  readonly isDraining: () => boolean;
}

interface Proposed {
  readonly answer: CommandAnswer;
  readonly index: number;
}

interface ForceQuestion {
  readonly index: number;
  readonly homes: readonly string[];
}

/** Times of the control log between instances. */
export const CONSENSUS_TIMES: ConsensusTimes = {
  heartbeatMs: 200,
  electionMs: 1_500,
  clockRateError: 0.02,
};

/** Times of the leases of the configuration. */
export const FEED_TIMES: FeedTimes = { leaseMs: 3_000, clockRateError: 0.02 };

const FORCE_TIMEOUT_MS = 4_500;
const FORCE_POLL_MS = 20;
const FOLLOW_TIMEOUT_MS = 2_000;
const VIEW_INTERVAL_MS = 500;
/** Time after taking the lead before silence counts as absence. */
const VIEW_GRACE_MS = 3_500;
const RETRY_MS = 1_000;

/** Owns replica and feed of an instance. */
export class ControlTask implements ControlPort {
  readonly #options: ControlTaskOptions;
  readonly #driver: ControlDriver | undefined;
  readonly #feed: FeedTask;
  readonly #waiters = new ProposalWaiters<CommandAnswer>(unavailable);
  readonly #applied: AppliedListener[] = [];
  readonly #restored: RestoredListener[] = [];
  readonly #roles: ((isLeader: boolean) => void)[] = [];
  #viewTimer: NodeJS.Timeout | undefined;

  /** Creates the task; it does not run yet. */
  constructor(options: ControlTaskOptions) {
    this.#options = options;
    const { settings, hub, logger, now, process } = options;
    this.#driver = this.#createDriver();
    this.#feed = new FeedTask({
      id: settings.id,
      dataCentre: settings.dataCentre,
      process,
      hub,
      driver: this.#driver,
      times: FEED_TIMES,
      logger,
      now,
      isDraining: options.isDraining,
      onApplied: (command, answer) => this.#tellApplied(command, answer),
      onRestored: (state) => this.#tellRestored(state),
    });
    hub
      .on("consensus", (_from, body) => this.#driver?.receive(body))
      .handle(
        "control.propose",
        (params) => this.#proposeHere(params as ControlCommand),
      )
      .handle(
        "control.force",
        (params) => this.#awaitForceHere(params as ForceQuestion),
      );
  }

  /** Gets the state as far as it has been applied here. */
  get state(): ControlState {
    return this.#feed.state;
  }

  /** Gets the view of this data centre's ledger. */
  get view(): LedgerView | undefined {
    return this.state.getView(this.#options.settings.dataCentre);
  }

  /** Gets the replica of this instance, where it has one. */
  get driver(): ControlDriver | undefined {
    return this.#driver;
  }

  /** Gets the feed of this instance. */
  get feed(): FeedTask {
    return this.#feed;
  }

  /** Starts replica and feed. */
  async start(): Promise<void> {
    await this.#driver?.start();
    this.#feed.start();
    this.#viewTimer = setInterval(() => this.#updateViews(), VIEW_INTERVAL_MS);
  }

  /** Stops replica and feed. */
  async stop(): Promise<void> {
    clearInterval(this.#viewTimer);
    this.#feed.stop();
    await this.#driver?.stop();
  }

  /** Proposes a command and waits until it is applied here. */
  async propose(command: ControlCommand): Promise<CommandAnswer> {
    const { answer, index } = await this.#proposeAnywhere(command);
    await this.#follow(index);
    return answer;
  }

  /** Waits until all that is applied here is in force everywhere. */
  async awaitForce(homes: readonly string[]): Promise<ForceAnswer> {
    const question = { index: this.#feed.node.applied, homes };
    if (this.#driver?.isReady) return await this.#awaitForceHere(question);
    try {
      return await this.#ask("control.force", question) as ForceAnswer;
    } catch {
      return { isInForce: false, awaited: ["control leader"] };
    }
  }

  /** Gets whether requests of a workspace may be served here now. */
  mayServe(workspace: string): boolean {
    if (this.#feed.hasLease) return true;
    const home = this.state.configuration.document.workspaces[workspace]?.home;
    const isHome = home === this.#options.settings.dataCentre;
    return isHome && this.#feed.hasHomeLease;
  }

  /** Adds a listener for commands. */
  onApplied(listener: AppliedListener): void {
    this.#applied.push(listener);
  }

  /** Adds a listener for states that replace the whole. */
  onRestored(listener: RestoredListener): void {
    this.#restored.push(listener);
  }

  /** Adds a listener for the begin and end of leading the control log. */
  onRole(listener: (isLeader: boolean) => void): void {
    this.#roles.push(listener);
  }

  #createDriver(): ControlDriver | undefined {
    const { settings, hub, logger, now } = this.#options;
    const own = settings.peers.find((peer) => peer.id === settings.id);
    if (own?.control !== true || settings.dataFolder === undefined) {
      return undefined;
    }
    const controls = settings.peers.filter((peer) => peer.control);
    const driver: ControlDriver = createControlDriver({
      id: settings.id,
      dataFolder: settings.dataFolder,
      wantedVoters: () => controls.length,
      times: CONSENSUS_TIMES,
      logger,
      now,
      send: (to, body) => hub.send(to, { channel: "consensus", body }),
      present: () => {
        const others = hub.controls
          .map((peer) => hub.getPresence(peer.id)?.replica);
        return [driver.replica, ...others].filter((id) => id !== undefined);
      },
      onApplied: (entry, answer) => this.#onLogEntry(entry, answer),
      onRestored: ({ index }) => this.#feed.onLogRestored(index, driver.state),
      onRole: (isLeader) => this.#onRole(isLeader),
    });
    return driver;
  }

  #onLogEntry(
    entry: LogEntry<ControlCommand>,
    answer: CommandAnswer | undefined,
  ): void {
    const { content, index } = entry;
    const command = content.type === "command" ? content.command : undefined;
    this.#feed.onLogEntry(index, command);
    if (command !== undefined && answer !== undefined) {
      this.#tellApplied(command, answer);
    }
    this.#waiters.onApplied(entry, answer);
  }

  #onRole(isLeader: boolean): void {
    if (!isLeader) this.#waiters.rejectAll();
    this.#feed.updateRoot();
    for (const listener of this.#roles) listener(isLeader);
  }

  #tellApplied(command: ControlCommand, answer: CommandAnswer): void {
    for (const listener of this.#applied) listener(command, answer);
  }

  #tellRestored(state: ControlState): void {
    for (const listener of this.#restored) listener(state);
  }

  async #proposeAnywhere(command: ControlCommand): Promise<Proposed> {
    if (this.#driver?.isReady) return await this.#proposeHere(command);
    return await this.#ask("control.propose", command) as Proposed;
  }

  /** Asks the leader where it is known, else any control instance. */
  async #ask(method: string, params: unknown): Promise<unknown> {
    const { hub } = this.#options;
    const leader = this.#driver?.leaderInstance;
    const present = hub.controls.filter((peer) => hub.isPresent(peer.id));
    const near = present.length > 0 ? present : hub.controls;
    const to = leader ?? near[0]?.id;
    if (to === undefined || to === this.#options.settings.id) {
      throw unavailable(Verdict.NotRun);
    }
    return await hub.request(to, method, {
      params,
      timeoutMs: PROPOSE_TIMEOUT_MS + FORCE_TIMEOUT_MS,
    });
  }

  async #proposeHere(command: ControlCommand): Promise<Proposed> {
    const driver = this.#driver;
    if (driver === undefined) throw unavailable(Verdict.NotRun);
    if (!driver.isReady) {
      const leader = driver.leaderInstance;
      const isElsewhere = leader !== undefined &&
        leader !== this.#options.settings.id;
      if (!isElsewhere) throw unavailable(Verdict.NotRun);
      return await this.#ask("control.propose", command) as Proposed;
    }
    const position = driver.propose(command);
    if (position === undefined) throw unavailable(Verdict.NotRun);
    const answer = await this.#waiters.wait(position);
    return { answer, index: position.index };
  }

  async #awaitForceHere(question: ForceQuestion): Promise<ForceAnswer> {
    const driver = this.#driver;
    const { now, settings } = this.#options;
    if (driver !== undefined && !driver.isReady) {
      const leader = driver.leaderInstance;
      if (leader === undefined || leader === settings.id) {
        throw unavailable(Verdict.NotRun);
      }
      return await this.#ask("control.force", question) as ForceAnswer;
    }
    const until = now() + FORCE_TIMEOUT_MS;
    while (true) {
      this.#feed.updateRoot();
      const { index, homes } = question;
      const answer = this.#feed.node.force(index, homes, now());
      if (answer.isInForce || now() >= until) return answer;
      await new Promise((resolve) => setTimeout(resolve, FORCE_POLL_MS));
    }
  }

  /** Waits until a position that the leader applied is applied here too. */
  async #follow(index: number): Promise<void> {
    const { now } = this.#options;
    const until = now() + FOLLOW_TIMEOUT_MS;
    while (this.#feed.node.applied < index && now() < until) {
      await new Promise((resolve) => setTimeout(resolve, FORCE_POLL_MS));
    }
  }

  /** The leader replaces views whose members are away. */
  #updateViews(): void {
    const driver = this.#driver;
    if (driver === undefined || !driver.isReady) return;
    const { now } = this.#options;
    if (now() - driver.leaderSince < VIEW_GRACE_MS) return;
    for (const dataCentre of this.#feed.presentDataCentres) {
      const view = nextView({
        dataCentre,
        view: this.state.getView(dataCentre),
        present: this.#feed.presentIn(dataCentre),
      });
      if (view !== undefined) driver.propose({ type: "setLedgerView", view });
    }
  }
}

function unavailable(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "The control log cannot be reached",
    retryAfterMs: RETRY_MS,
  });
}

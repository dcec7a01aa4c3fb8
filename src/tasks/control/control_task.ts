/** The control log of a system with several instances. */
import {
  type CommandResult,
  type ControlCommand,
  type ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { ConsensusTiming, LogEntry } from "../../core/consensus/mod.ts";
import type { FeedTiming, InForceStatus } from "../../core/feed/mod.ts";
import { Verdict } from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Settings } from "../../settings/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type {
  AppliedListener,
  ControlPort,
  RestoredListener,
} from "./control_port.ts";
import { FeedTask } from "./feed_task.ts";
import {
  type AwaitInForceRequest,
  FeedWaiter,
  IN_FORCE_TIMEOUT_MS,
} from "./feed_waiter.ts";
import { ProposalWaiters, PROPOSE_TIMEOUT_MS } from "../log/mod.ts";
import { ControlClient, createUnavailableError } from "./control_client.ts";
import { type ControlDriver, createControlDriver } from "./control_driver.ts";
import { ViewUpdater } from "./view_updater.ts";

/** Options of {@link ControlTask}. */
export interface ControlTaskOptions {
  readonly settings: Settings;
  /** ID of this process in ledger views. */
  readonly process: string;
  readonly hub: PeerHub;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
  /** Checks whether this instance is draining. */
  readonly isDraining: () => boolean;
}

interface ProposeReply {
  readonly answer: CommandResult;
  readonly index: number;
}

/** Heartbeat and election times of the control log. */
export const CONSENSUS_TIMING: ConsensusTiming = {
  heartbeatMs: 200,
  electionMs: 1_500,
  clockRateError: 0.02,
};

/** Times of the leases that allow an instance to use the configuration. */
export const FEED_TIMING: FeedTiming = { leaseMs: 3_000, clockRateError: 0.02 };

/** Runs an instance's replica of the control log, if any, and its feed. */
export class ControlTask implements ControlPort {
  readonly #options: ControlTaskOptions;
  readonly #driver: ControlDriver | undefined;
  readonly #feed: FeedTask;
  readonly #waiters = new ProposalWaiters<CommandResult>(
    createUnavailableError,
  );
  readonly #appliedListeners: AppliedListener[] = [];
  readonly #restoredListeners: RestoredListener[] = [];
  readonly #roleListeners: ((isLeader: boolean) => void)[] = [];
  readonly #views: ViewUpdater;
  readonly #client: ControlClient;
  readonly #waiter: FeedWaiter;

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
      times: FEED_TIMING,
      logger,
      now,
      isDraining: options.isDraining,
      onApplied: (command, result) => this.#notifyApplied(command, result),
      onRestored: (state) => this.#notifyRestored(state),
    });
    this.#client = new ControlClient({
      id: settings.id,
      hub,
      driver: this.#driver,
      timeoutMs: PROPOSE_TIMEOUT_MS + IN_FORCE_TIMEOUT_MS,
    });
    this.#waiter = new FeedWaiter({ feed: this.#feed, now });
    this.#views = new ViewUpdater({
      driver: this.#driver,
      feed: this.#feed,
      getView: (dataCentre) => this.state.getView(dataCentre),
      now,
    });
    hub
      .on("consensus", (_from, body) => this.#driver?.receive(body))
      .handle(
        "control.propose",
        (params) => this.#proposeLocally(params as ControlCommand),
      )
      .handle(
        "control.force",
        (params) => this.#awaitInForceLocally(params as AwaitInForceRequest),
      );
  }

  /** Gets the state after the last command applied by this instance. */
  get state(): ControlState {
    return this.#feed.state;
  }

  /** Gets the current view of this data centre's ledger. */
  get view(): LedgerView | undefined {
    return this.state.getView(this.#options.settings.dataCentre);
  }

  /** Gets the driver of the replica; undefined on instances without one. */
  get driver(): ControlDriver | undefined {
    return this.#driver;
  }

  get feed(): FeedTask {
    return this.#feed;
  }

  /** Starts the replica, the feed and the timer that updates views. */
  async start(): Promise<void> {
    await this.#driver?.start();
    this.#feed.start();
    this.#views.start();
  }

  async stop(): Promise<void> {
    this.#views.stop();
    this.#feed.stop();
    await this.#driver?.stop();
  }

  /**
   * Proposes a command and waits, for a limited time after the leader has applied
   * it, until this instance has.
   * @throws RefusalError if the log's leader cannot be reached.
   */
  async propose(command: ControlCommand): Promise<CommandResult> {
    const { answer, index } = await this.#proposeOrForward(command);
    await this.#waiter.untilApplied(index);
    return answer;
  }

  /**
   * Waits, for a limited time, until every instance has applied all commands
   * applied by this one, or is fenced. If the leader cannot be reached, the
   * answer names it as awaited.
   */
  async awaitInForce(homes: readonly string[]): Promise<InForceStatus> {
    const request = { index: this.#feed.node.applied, homes };
    if (this.#driver?.isReady) return await this.#awaitInForceLocally(request);
    try {
      return await this.#client.request(
        "control.force",
        request,
      ) as InForceStatus;
    } catch {
      return { isInForce: false, awaited: ["control leader"] };
    }
  }

  /**
   * Checks whether this instance may serve a workspace now: it has a lease, or
   * a home lease if the workspace's home is this data centre.
   */
  mayServe(workspace: string): boolean {
    if (this.#feed.hasLease) return true;
    const home = this.state.configuration.document.workspaces[workspace]?.home;
    const isHome = home === this.#options.settings.dataCentre;
    return isHome && this.#feed.hasHomeLease;
  }

  /** Adds a listener for applied commands. */
  onApplied(listener: AppliedListener): void {
    this.#appliedListeners.push(listener);
  }

  /** Adds a listener for states restored from a snapshot. */
  onRestored(listener: RestoredListener): void {
    this.#restoredListeners.push(listener);
  }

  /** Adds a listener, called when this replica gains or loses leadership. */
  onLeadershipChanged(listener: (isLeader: boolean) => void): void {
    this.#roleListeners.push(listener);
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
      times: CONSENSUS_TIMING,
      logger,
      now,
      send: (to, body) => hub.send(to, { channel: "consensus", body }),
      presentReplicas: () => {
        const others = hub.controlPeers
          .map((peer) => hub.getPresence(peer.id)?.replica);
        return [driver.replica, ...others].filter((id) => id !== undefined);
      },
      onApplied: (entry, result) => this.#onLogEntry(entry, result),
      onRestored: ({ index }) => this.#feed.onLogRestored(index, driver.state),
      onRole: (isLeader) => this.#onRole(isLeader),
    });
    return driver;
  }

  #onLogEntry(
    entry: LogEntry<ControlCommand>,
    result: CommandResult | undefined,
  ): void {
    const { content, index } = entry;
    const command = content.type === "command" ? content.command : undefined;
    this.#feed.onLogEntry(index, command);
    if (command !== undefined && result !== undefined) {
      this.#notifyApplied(command, result);
    }
    this.#waiters.onApplied(entry, result);
  }

  #onRole(isLeader: boolean): void {
    if (!isLeader) this.#waiters.rejectAll();
    this.#feed.updateRoot();
    for (const listener of this.#roleListeners) listener(isLeader);
  }

  #notifyApplied(command: ControlCommand, result: CommandResult): void {
    for (const listener of this.#appliedListeners) listener(command, result);
  }

  #notifyRestored(state: ControlState): void {
    for (const listener of this.#restoredListeners) listener(state);
  }

  async #proposeOrForward(command: ControlCommand): Promise<ProposeReply> {
    if (this.#driver?.isReady) return await this.#proposeLocally(command);
    return await this.#client.request(
      "control.propose",
      command,
    ) as ProposeReply;
  }

  async #proposeLocally(command: ControlCommand): Promise<ProposeReply> {
    const driver = this.#driver;
    if (driver === undefined) throw createUnavailableError(Verdict.NotRun);
    if (!driver.isReady) {
      const leader = driver.leaderInstance;
      const isOtherLeader = leader !== undefined &&
        leader !== this.#options.settings.id;
      if (!isOtherLeader) throw createUnavailableError(Verdict.NotRun);
      return await this.#client.request(
        "control.propose",
        command,
      ) as ProposeReply;
    }
    const position = driver.propose(command);
    if (position === undefined) throw createUnavailableError(Verdict.NotRun);
    const answer = await this.#waiters.waitUntilApplied(position);
    return { answer, index: position.index };
  }

  async #awaitInForceLocally(
    request: AwaitInForceRequest,
  ): Promise<InForceStatus> {
    const driver = this.#driver;
    const { settings } = this.#options;
    if (driver !== undefined && !driver.isReady) {
      const leader = driver.leaderInstance;
      if (leader === undefined || leader === settings.id) {
        throw createUnavailableError(Verdict.NotRun);
      }
      return await this.#client.request(
        "control.force",
        request,
      ) as InForceStatus;
    }
    return await this.#waiter.untilInForce(request);
  }
}

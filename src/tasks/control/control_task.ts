/** The control log of a system with several instances. */
import {
  type CommandResult,
  type ControlCommand,
  type ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { ConsensusTiming, LogEntry } from "../../core/consensus/mod.ts";
import type { FeedTiming, InForceStatus } from "../../core/feed/mod.ts";
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

interface AwaitInForceRequest {
  readonly index: number;
  readonly homes: readonly string[];
}

/** Heartbeat and election times of the control log. */
export const CONSENSUS_TIMING: ConsensusTiming = {
  heartbeatMs: 200,
  electionMs: 1_500,
  clockRateError: 0.02,
};

/** Times of the leases that allow an instance to use the configuration. */
export const FEED_TIMING: FeedTiming = { leaseMs: 3_000, clockRateError: 0.02 };

const IN_FORCE_TIMEOUT_MS = 4_500;
const POLL_INTERVAL_MS = 20;
const APPLY_TIMEOUT_MS = 2_000;
const VIEW_INTERVAL_MS = 500;
/**
 * Time for which a new leader does not replace views, so that it can first
 * receive heartbeats from every process.
 */
const VIEW_GRACE_MS = 3_500;
const RETRY_AFTER_MS = 1_000;

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
  #viewTimer: NodeJS.Timeout | undefined;

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
    this.#viewTimer = setInterval(() => this.#updateViews(), VIEW_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.#viewTimer);
    this.#feed.stop();
    await this.#driver?.stop();
  }

  /**
   * Proposes a command and waits until this instance has applied it, for up to
   * {@link APPLY_TIMEOUT_MS} after the leader has.
   * @throws RefusalError if the log's leader cannot be reached.
   */
  async propose(command: ControlCommand): Promise<CommandResult> {
    const { answer, index } = await this.#proposeOrForward(command);
    await this.#waitUntilApplied(index);
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
      return await this.#requestLeader(
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
    return await this.#requestLeader(
      "control.propose",
      command,
    ) as ProposeReply;
  }

  /** Sends a request to the leader if known, else to a control instance. */
  async #requestLeader(method: string, params: unknown): Promise<unknown> {
    const { hub } = this.#options;
    const leader = this.#driver?.leaderInstance;
    const present = hub.controlPeers.filter((peer) => hub.isPresent(peer.id));
    const candidates = present.length > 0 ? present : hub.controlPeers;
    const to = leader ?? candidates[0]?.id;
    if (to === undefined || to === this.#options.settings.id) {
      throw createUnavailableError(Verdict.NotRun);
    }
    return await hub.request(to, method, {
      params,
      timeoutMs: PROPOSE_TIMEOUT_MS + IN_FORCE_TIMEOUT_MS,
    });
  }

  async #proposeLocally(command: ControlCommand): Promise<ProposeReply> {
    const driver = this.#driver;
    if (driver === undefined) throw createUnavailableError(Verdict.NotRun);
    if (!driver.isReady) {
      const leader = driver.leaderInstance;
      const isOtherLeader = leader !== undefined &&
        leader !== this.#options.settings.id;
      if (!isOtherLeader) throw createUnavailableError(Verdict.NotRun);
      return await this.#requestLeader(
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
    const { now, settings } = this.#options;
    if (driver !== undefined && !driver.isReady) {
      const leader = driver.leaderInstance;
      if (leader === undefined || leader === settings.id) {
        throw createUnavailableError(Verdict.NotRun);
      }
      return await this.#requestLeader(
        "control.force",
        request,
      ) as InForceStatus;
    }
    const endsAt = now() + IN_FORCE_TIMEOUT_MS;
    while (true) {
      this.#feed.updateRoot();
      const { index, homes } = request;
      const status = this.#feed.node.inForceStatus(index, homes, now());
      if (status.isInForce || now() >= endsAt) return status;
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Waits until this instance has applied an index, or the time is over. */
  async #waitUntilApplied(index: number): Promise<void> {
    const { now } = this.#options;
    const endsAt = now() + APPLY_TIMEOUT_MS;
    while (this.#feed.node.applied < index && now() < endsAt) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Proposes new views for ledgers with absent members, as the leader. */
  #updateViews(): void {
    const driver = this.#driver;
    if (driver === undefined || !driver.isReady) return;
    const { now } = this.#options;
    if (now() - driver.leaderSince < VIEW_GRACE_MS) return;
    for (const dataCentre of this.#feed.presentDataCentres) {
      const view = nextView({
        dataCentre,
        view: this.state.getView(dataCentre),
        present: this.#feed.presentProcessesIn(dataCentre),
      });
      if (view !== undefined) driver.propose({ type: "setLedgerView", view });
    }
  }
}

function createUnavailableError(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "The control log cannot be reached",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

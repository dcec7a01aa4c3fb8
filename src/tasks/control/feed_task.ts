/** Replication of the control log to all instances, with leases. */
import {
  type CommandResult,
  type ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import {
  type FeedGrant,
  type FeedMessage,
  FeedNode,
  type FeedTiming,
  HomeAuthority,
  type RootStatus,
} from "../../core/feed/mod.ts";
import { instanceOfProcess } from "../../core/ledger/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { HomeMessage, PeerHub } from "../peers/mod.ts";
import type { ControlDriver } from "./control_driver.ts";
import { PresentProcesses } from "./present_processes.ts";
import { selectUpstream } from "./upstream.ts";

/** Options of {@link FeedTask}. */
export interface FeedTaskOptions {
  /** ID of this instance. */
  readonly id: string;
  readonly dataCentre: string;
  /** ID of this process in ledger views. */
  readonly process: string;
  readonly hub: PeerHub;
  /** Replica of the control log; undefined on instances without one. */
  readonly driver: ControlDriver | undefined;
  readonly times: FeedTiming;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
  /** Called for each command applied from a grant. */
  readonly onApplied: (command: ControlCommand, result: CommandResult) => void;
  /** Checks whether this instance is draining. */
  readonly isDraining: () => boolean;
  /** Called when the state has been loaded from a snapshot. */
  readonly onRestored: (state: ControlState) => void;
}

/** Time between two lease renewals, in milliseconds. */
const RENEW_INTERVAL_MS = 700;
/** Time in which changes are combined into one confirmation upstream. */
const CONFIRM_DELAY_MS = 10;

/**
 * Runs the feed of one instance: it receives the control log from an upstream
 * instance, applies it, forwards it downstream and renews the leases.
 */
export class FeedTask {
  readonly #options: FeedTaskOptions;
  readonly #node: FeedNode;
  readonly #homeAuthority: HomeAuthority;
  readonly #present: PresentProcesses;
  #state = new ControlState();
  #timer: NodeJS.Timeout | undefined;
  #confirmTimer: NodeJS.Timeout | undefined;
  #hadLease: boolean | undefined;
  #confirmedIndex = 0;

  /** Subscribes to the channels of the feed. */
  constructor(options: FeedTaskOptions) {
    const { id, dataCentre, times, process } = options;
    this.#options = options;
    this.#present = new PresentProcesses(options);
    this.#node = new FeedNode({
      self: id,
      dataCentre,
      times,
      getSnapshot: () => this.state.save(),
    });
    this.#homeAuthority = new HomeAuthority({ self: process, times });
    options.hub
      .on("feed", (from, body) => this.#onMessage(from, body))
      .on("home", (from, body) => this.#onHomeMessage(from, body));
  }

  /** Gets the feed's state machine. */
  get node(): FeedNode {
    return this.#node;
  }

  /** Gets the state after the last command applied by this instance. */
  get state(): ControlState {
    return this.#options.driver?.state ?? this.#state;
  }

  /** Gets the ledger processes of a data centre that are present. */
  presentProcessesIn(dataCentre: string): readonly string[] {
    const now = this.#options.now();
    return this.#present.list(now)
      .filter((present) => present.dataCentre === dataCentre)
      .map((present) => present.process);
  }

  /** Gets the data centres with a process that is present. */
  get presentDataCentres(): readonly string[] {
    const now = this.#options.now();
    return [...new Set(this.#present.list(now).map((p) => p.dataCentre))];
  }

  /** Gets whether a lease guarantees that the configuration is current. */
  get hasLease(): boolean {
    return this.#node.hasLease(this.#options.now());
  }

  /** Gets the time for which the home authority remains, in milliseconds. */
  get homeAuthorityLeftMs(): number {
    const now = this.#options.now();
    return Math.max(0, this.#homeAuthority.authorityEnd(now) - now);
  }

  /**
   * Gets whether a lease guarantees that the settings of workspaces with this
   * home data centre are current.
   */
  get hasHomeLease(): boolean {
    return this.#node.hasHomeLease(this.#options.now());
  }

  /** Starts to renew the leases. */
  start(): void {
    this.#timer = setInterval(() => this.#onRenewTimer(), RENEW_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#confirmTimer);
  }

  /** Forwards an entry that the local replica has applied. */
  onLogEntry(index: number, command: ControlCommand | undefined): void {
    this.#node.onApplied([{ index, command }]);
    if (command?.type === "setLedgerView") this.#onView(command.view);
    this.#pushAndConfirm();
  }

  /** Forwards a state that the local replica has restored from a snapshot. */
  onLogRestored(index: number, state: ControlState): void {
    this.#node.onRestored(index);
    for (const view of state.views) this.#onView(view);
    this.#options.onRestored(state);
    this.#pushAndConfirm();
  }

  /** Updates whether this instance, as the log's leader, is the feed's root. */
  updateRoot(): void {
    const { driver, now } = this.#options;
    const { node } = driver ?? {};
    const root: RootStatus | undefined = driver?.isReady && node !== undefined
      ? { hasLease: node.hasLease(now()), since: driver.leaderSince }
      : undefined;
    this.#node.setRootStatus(root);
  }

  #onRenewTimer(): void {
    const now = this.#options.now();
    this.#requestPromises(now);
    this.#updateHomeAuthority(now);
    this.updateRoot();
    this.#renew();
    this.#logLeaseChange(now);
  }

  #logLeaseChange(now: number): void {
    const hasLease = this.#node.hasLease(now);
    if (hasLease === this.#hadLease) return;
    this.#hadLease = hasLease;
    this.#options.logger.event(hasLease ? "leaseHeld" : "leaseLost");
  }

  #renew(): void {
    const { hub, now } = this.#options;
    const upstream = selectUpstream({
      ...this.#options,
      homeAuthority: this.#homeAuthority,
    });
    if (upstream === undefined) return;
    const body = this.#node.renew(now(), this.#present.list(now()));
    hub.send(upstream, { channel: "feed", body });
  }

  #onMessage(from: string, message: FeedMessage): void {
    const { hub, now } = this.#options;
    if (message.type === "grant") {
      this.#onGrant(message);
      return;
    }
    this.updateRoot();
    this.#updateHomeAuthority(now());
    this.#present.merge(message.present, now());
    const body = this.#node.onRenew(message, now());
    hub.send(from, { channel: "feed", body });
    this.#scheduleConfirmation();
  }

  #onGrant(grant: FeedGrant): void {
    const appliedBefore = this.#node.applied;
    if (this.#options.driver === undefined) this.#applyGrant(grant);
    this.#node.onGrantApplied(grant);
    if (this.#node.applied > appliedBefore) this.#pushAndConfirm();
    this.#logLeaseChange(this.#options.now());
  }

  #applyGrant(grant: FeedGrant): void {
    const { snapshot, entries } = this.#node.onGrant(grant);
    if (snapshot !== undefined) {
      this.#state = new ControlState().load(snapshot.state);
      this.#node.onRestored(snapshot.index);
      for (const view of this.#state.views) this.#onView(view);
      this.#options.onRestored(this.#state);
    }
    for (const entry of entries) {
      const { command } = entry;
      if (command !== undefined) {
        const result = this.#state.apply(command);
        this.#options.onApplied(command, result);
        if (command.type === "setLedgerView") this.#onView(command.view);
      }
      this.#node.onApplied([entry]);
    }
  }

  #pushAndConfirm(): void {
    for (const { to, grant } of this.#node.takePushes()) {
      const isSent = this.#options.hub.send(to, {
        channel: "feed",
        body: grant,
      });
      if (!isSent) this.#node.forget(to);
    }
    this.#scheduleConfirmation();
  }

  #scheduleConfirmation(): void {
    if (this.#confirmTimer !== undefined) return;
    this.#confirmTimer = setTimeout(() => {
      this.#confirmTimer = undefined;
      const inForce = this.#node.inForce(this.#options.now());
      if (inForce <= this.#confirmedIndex) return;
      this.#confirmedIndex = inForce;
      this.#renew();
    }, CONFIRM_DELAY_MS);
  }

  #onView(view: LedgerView): void {
    if (view.dataCentre !== this.#options.dataCentre) return;
    this.#homeAuthority.setView(view, this.#options.now());
    this.#updateHomeAuthority(this.#options.now());
  }

  #updateHomeAuthority(now: number): void {
    this.#node.setHomeAuthorityEnd(this.#homeAuthority.authorityEnd(now));
  }

  #requestPromises(now: number): void {
    const { hub, process } = this.#options;
    const { view } = this.#homeAuthority;
    if (view === undefined || !this.#homeAuthority.isPrimary) return;
    for (const backup of view.backups) {
      hub.send(instanceOfProcess(backup), {
        channel: "home",
        body: { type: "ask", process, view: view.number, at: now },
      });
    }
  }

  #onHomeMessage(from: string, message: HomeMessage): void {
    const { hub, process, now } = this.#options;
    if (message.type === "promise") {
      this.#homeAuthority.onPromise(message.process, message);
      this.#updateHomeAuthority(now());
      return;
    }
    if (!this.#homeAuthority.followsView(message.view)) return;
    const body = { ...message, type: "promise" as const, process };
    hub.send(from, { channel: "home", body });
  }
}

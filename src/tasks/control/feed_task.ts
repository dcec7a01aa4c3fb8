/** Takes the control log in, passes it on, and keeps the leases. */
import {
  type CommandAnswer,
  type ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import {
  type FeedGrant,
  type FeedMessage,
  FeedNode,
  type FeedTimes,
  HomeAuthority,
  type PresentProcess,
  type RootStanding,
} from "../../core/feed/mod.ts";
import { instanceOfProcess } from "../../core/ledger/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { HomeMessage, PeerHub } from "../peers/mod.ts";
import type { ControlDriver } from "./control_driver.ts";

/** Options of {@link FeedTask}. */
export interface FeedTaskOptions {
  /** This instance. */
  readonly id: string;
  /** Its data centre. */
  readonly dataCentre: string;
  /** This process, as views of the ledger name it. */
  readonly process: string;
  /** Links. */
  readonly hub: PeerHub;
  /** Replica of the control log; undefined on other instances. */
  readonly driver: ControlDriver | undefined;
  /** Times of leases. */
  readonly times: FeedTimes;
  /** Logs. */
  readonly logger: Logger;
  /** Gets the local, steady clock in milliseconds. */
  readonly now: () => number;
  /** Hears of applied commands. */
  readonly onApplied: (command: ControlCommand, answer: CommandAnswer) => void;
  /** Gets whether this instance drains. */
  readonly isDraining: () => boolean;
  /** Hears of replaced states. */
  readonly onRestored: (state: ControlState) => void;
}

/** Time between two renewals, in milliseconds. */
const RENEW_INTERVAL_MS = 700;
/** Time that changes are gathered before they are confirmed upwards. */
const CONFIRM_DELAY_MS = 10;
/** Time without a sign of life after which a process counts as away. */
const PRESENT_TTL_MS = 3_000;

/** Owns the feed of one instance. */
export class FeedTask {
  readonly #options: FeedTaskOptions;
  readonly #node: FeedNode;
  readonly #home: HomeAuthority;
  readonly #present = new Map<string, { dataCentre: string; until: number }>();
  #state = new ControlState();
  #timer: NodeJS.Timeout | undefined;
  #confirmTimer: NodeJS.Timeout | undefined;
  #hadLease: boolean | undefined;

  /** Creates the feed. */
  constructor(options: FeedTaskOptions) {
    const { id, dataCentre, times, process } = options;
    this.#options = options;
    this.#node = new FeedNode({
      self: id,
      dataCentre,
      times,
      getSnapshot: () => this.state.save(),
    });
    this.#home = new HomeAuthority({ self: process, times });
    options.hub
      .on("feed", (from, body) => this.#onMessage(from, body))
      .on("home", (from, body) => this.#onHome(from, body));
  }

  /** Gets the core of the feed. */
  get node(): FeedNode {
    return this.#node;
  }

  /** Gets the state as far as it has been applied here. */
  get state(): ControlState {
    return this.#options.driver?.state ?? this.#state;
  }

  /** Gets the ledger processes that gave a sign of life, by data centre. */
  presentIn(dataCentre: string): readonly string[] {
    const now = this.#options.now();
    return this.#presentList(now)
      .filter((present) => present.dataCentre === dataCentre)
      .map((present) => present.process);
  }

  /** Gets the data centres from which a sign of life came. */
  get presentDataCentres(): readonly string[] {
    const now = this.#options.now();
    return [...new Set(this.#presentList(now).map((p) => p.dataCentre))];
  }

  /** Gets whether the configuration here is surely current. */
  get hasLease(): boolean {
    return this.#node.hasLease(this.#options.now());
  }

  /** Gets the time left of the authority over the home data centre. */
  get homeLeftMs(): number {
    const now = this.#options.now();
    return Math.max(0, this.#home.until(now) - now);
  }

  /** Gets whether settings of workspaces at home here are surely current. */
  get hasHomeLease(): boolean {
    return this.#node.hasHomeLease(this.#options.now());
  }

  /** Starts to renew. */
  start(): void {
    this.#timer = setInterval(() => this.#beat(), RENEW_INTERVAL_MS);
  }

  /** Ends the timers. */
  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#confirmTimer);
  }

  /** Records an entry that the replica here has applied. */
  onLogEntry(index: number, command: ControlCommand | undefined): void {
    this.#node.onApplied([{ index, command }]);
    if (command?.type === "setLedgerView") this.#onView(command.view);
    this.#pushAndConfirm();
  }

  /** Records a state that the replica here has loaded. */
  onLogRestored(index: number, state: ControlState): void {
    this.#node.onRestored(index);
    for (const view of state.views) this.#onView(view);
    this.#options.onRestored(state);
    this.#pushAndConfirm();
  }

  /** Sets the standing as root; undefined where another one leads. */
  updateRoot(): void {
    const { driver, now } = this.#options;
    const { node } = driver ?? {};
    const root: RootStanding | undefined = driver?.isReady && node !== undefined
      ? { hasLease: node.hasLease(now()), since: driver.leaderSince }
      : undefined;
    this.#node.setRoot(root);
  }

  #beat(): void {
    const now = this.#options.now();
    this.#askPromises(now);
    this.#updateHome(now);
    this.updateRoot();
    this.#renew();
    this.#logLease(now);
  }

  #logLease(now: number): void {
    const hasLease = this.#node.hasLease(now);
    if (hasLease === this.#hadLease) return;
    this.#hadLease = hasLease;
    this.#options.logger.event(hasLease ? "leaseHeld" : "leaseLost");
  }

  #presentList(now: number): PresentProcess[] {
    const { hub, process, dataCentre, isDraining } = this.#options;
    const list: PresentProcess[] = isDraining()
      ? []
      : [{ process, dataCentre }];
    for (const peer of hub.neighbours) {
      const presence = hub.getPresence(peer.id);
      if (presence === undefined || presence.isDraining) continue;
      list.push({ process: presence.ledger, dataCentre: peer.dataCentre });
    }
    for (const [other, { dataCentre, until }] of this.#present) {
      if (until <= now) this.#present.delete(other);
      else if (!list.some((p) => p.process === other)) {
        list.push({ process: other, dataCentre });
      }
    }
    return list;
  }

  /** Gets the instance from which the control log comes. */
  #above(): string | undefined {
    const { driver, hub, id, dataCentre } = this.#options;
    if (driver !== undefined) {
      const leader = driver.leaderInstance;
      return leader === id ? undefined : leader;
    }
    const primary = this.#home.view?.primary;
    if (primary !== undefined && !this.#home.isPrimary) {
      const instance = instanceOfProcess(primary);
      if (hub.isPresent(instance) && instance !== id) return instance;
    }
    const controls = [...hub.controls].sort((a, b) =>
      Number(b.dataCentre === dataCentre) - Number(a.dataCentre === dataCentre)
    );
    const near = controls.find((peer) => hub.isPresent(peer.id));
    const turn = Math.floor(this.#options.now() / PRESENT_TTL_MS);
    return near?.id ?? controls[turn % Math.max(1, controls.length)]?.id;
  }

  #renew(): void {
    const { hub, now } = this.#options;
    const above = this.#above();
    if (above === undefined) return;
    const body = this.#node.renew(now(), this.#presentList(now()));
    hub.send(above, { channel: "feed", body });
  }

  #onMessage(from: string, message: FeedMessage): void {
    const { hub, now } = this.#options;
    if (message.type === "grant") {
      this.#onGrant(message);
      return;
    }
    this.updateRoot();
    this.#updateHome(now());
    const until = now() + PRESENT_TTL_MS;
    for (const { process, dataCentre } of message.present) {
      this.#present.set(process, { dataCentre, until });
    }
    const body = this.#node.onRenew(message, now());
    hub.send(from, { channel: "feed", body });
    this.#confirmSoon();
  }

  #onGrant(grant: FeedGrant): void {
    const before = this.#node.applied;
    if (this.#options.driver === undefined) this.#applyGrant(grant);
    this.#node.onLease(grant);
    if (this.#node.applied > before) this.#pushAndConfirm();
    this.#logLease(this.#options.now());
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
        const answer = this.#state.apply(command);
        this.#options.onApplied(command, answer);
        if (command.type === "setLedgerView") this.#onView(command.view);
      }
      this.#node.onApplied([entry]);
    }
  }

  #pushAndConfirm(): void {
    for (const { to, grant } of this.#node.pushes()) {
      const isSent = this.#options.hub.send(to, {
        channel: "feed",
        body: grant,
      });
      if (!isSent) this.#node.forget(to);
    }
    this.#confirmSoon();
  }

  #confirmSoon(): void {
    if (this.#confirmTimer !== undefined) return;
    this.#confirmTimer = setTimeout(() => {
      this.#confirmTimer = undefined;
      if (this.#node.inForce(this.#options.now()) > this.#confirmed) {
        this.#confirmed = this.#node.inForce(this.#options.now());
        this.#renew();
      }
    }, CONFIRM_DELAY_MS);
  }

  #confirmed = 0;

  #onView(view: LedgerView): void {
    if (view.dataCentre !== this.#options.dataCentre) return;
    this.#home.setView(view, this.#options.now());
    this.#updateHome(this.#options.now());
  }

  #updateHome(now: number): void {
    this.#node.setHome(this.#home.until(now));
  }

  #askPromises(now: number): void {
    const { hub, process } = this.#options;
    const { view } = this.#home;
    if (view === undefined || !this.#home.isPrimary) return;
    for (const backup of view.backups) {
      hub.send(instanceOfProcess(backup), {
        channel: "home",
        body: { type: "ask", process, view: view.number, at: now },
      });
    }
  }

  #onHome(from: string, message: HomeMessage): void {
    const { hub, process, now } = this.#options;
    if (message.type === "promise") {
      this.#home.onPromise(message.process, message);
      this.#updateHome(now());
      return;
    }
    if (!this.#home.promises(message.view)) return;
    const body = { ...message, type: "promise" as const, process };
    hub.send(from, { channel: "home", body });
  }
}

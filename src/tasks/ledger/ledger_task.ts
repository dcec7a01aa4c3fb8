/** The ledger as an instance of a system of several sees it. */
import type { LedgerView } from "../../core/views/mod.ts";
import {
  instanceOfProcess,
  type LedgerEffect,
  type LedgerMessage,
  type LedgerRecord,
  LedgerReplica,
  type LedgerState,
} from "../../core/ledger/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { LedgerPort, RecordListener } from "./ledger_port.ts";
import type { LedgerStore } from "./ledger_store.ts";

type Write = Extract<LedgerEffect, { type: "write" }>;

/** Options of {@link LedgerTask}. */
export interface LedgerTaskOptions {
  /** This process, as views name it. */
  readonly process: string;
  /** Its data centre. */
  readonly dataCentre: string;
  /** Store; undefined on instances without a disk. */
  readonly store: LedgerStore | undefined;
  /** Links. */
  readonly hub: PeerHub;
  /** Control log, for views. */
  readonly control: ControlPort;
  /** Logs. */
  readonly logger: Logger;
  /** Gets the local, steady clock in milliseconds. */
  readonly now: () => number;
}

interface Waiter {
  readonly since: number;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

/** Backups wanted beside the primary. */
const WANTED_BACKUPS = 2;
const BEAT_MS = 300;
/** Time after which a backup that does not answer is left out. */
const SILENT_BACKUP_MS = 2_000;
const RETRY_MS = 1_000;

/** Owns replica and store of an instance. */
export class LedgerTask implements LedgerPort {
  readonly #options: LedgerTaskOptions;
  readonly #replica: LedgerReplica;
  readonly #waiters = new Map<number, Waiter>();
  readonly #applied: RecordListener[] = [];
  readonly #primary: ((isPrimary: boolean) => void)[] = [];
  readonly #timer: NodeJS.Timeout;
  #queue: LedgerEffect[] = [];
  #isBusy = false;
  #isStopped = false;
  #stalledSince: number | undefined;

  /** Creates the task and takes the current view in. */
  constructor(options: LedgerTaskOptions) {
    this.#options = options;
    const { control, hub, process, store, dataCentre } = options;
    this.#replica = new LedgerReplica({
      self: process,
      stored: store?.stored,
      wantedBackups: WANTED_BACKUPS,
    });
    hub.on("ledger", (_from, body) => this.#onMessage(body));
    control.onApplied((command) => {
      if (command.type === "setLedgerView") this.#onView(command.view);
    });
    control.onRestored((state) => this.#onView(state.getView(dataCentre)));
    this.#timer = setInterval(() => this.#beat(), BEAT_MS);
  }

  /** Gets the state as far as it has been applied here. */
  get state(): LedgerState {
    return this.#replica.state;
  }

  /** Gets whether this instance orders the records. */
  get isPrimary(): boolean {
    return this.#replica.isPrimary && !this.#isStopped;
  }

  /** Gets the instance that orders the records. */
  get primaryInstance(): string | undefined {
    const primary = this.#replica.view?.primary;
    return primary === undefined ? undefined : instanceOfProcess(primary);
  }

  /** Gets the replica, to look at. */
  get replica(): LedgerReplica {
    return this.#replica;
  }

  /** Appends a record and waits until every member of the view holds it. */
  append(record: LedgerRecord): Promise<void> {
    const index = this.isPrimary ? this.#replica.append(record) : undefined;
    if (index === undefined) return Promise.reject(unavailable(Verdict.NotRun));
    return new Promise((resolve, reject) => {
      const since = this.#options.now();
      this.#waiters.set(index, { since, resolve, reject });
      this.#collect();
    });
  }

  /** Adds a listener for applied records. */
  onApplied(listener: RecordListener): void {
    this.#applied.push(listener);
  }

  /** Adds a listener for the begin and end of being primary. */
  onPrimary(listener: (isPrimary: boolean) => void): void {
    this.#primary.push(listener);
    if (this.isPrimary) listener(true);
  }

  /** Stops the replica. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#failWaiters();
    await this.#options.store?.close().catch(() => {});
  }

  #onView(view: LedgerView | undefined): void {
    if (view === undefined || view.dataCentre !== this.#options.dataCentre) {
      return;
    }
    this.#options.logger.event("ledgerView", {
      view: view.number,
      primary: view.primary,
      backups: view.backups,
      epoch: view.epoch,
    });
    this.#step(() => this.#replica.setView(view));
  }

  #onMessage(message: LedgerMessage): void {
    this.#step(() => this.#replica.receive(message));
  }

  #beat(): void {
    this.#step(() => {
      this.#replica.hello();
      this.#replica.repropose();
      this.#replica.compact();
    });
    this.#leaveSilentOut();
  }

  /** A backup that holds commits up is left out by a new view. */
  #leaveSilentOut(): void {
    const { now, hub } = this.#options;
    const view = this.#replica.view;
    const isStalled = this.isPrimary && view !== undefined &&
      this.#replica.committed < this.#replica.last.index;
    if (!isStalled) {
      this.#stalledSince = undefined;
      return;
    }
    this.#stalledSince ??= now();
    if (now() - this.#stalledSince < SILENT_BACKUP_MS) return;
    this.#stalledSince = now();
    const backups = view.backups
      .filter((id) => this.#replica.isCaughtUp(id))
      .filter((id) => hub.isPresent(instanceOfProcess(id)));
    this.#proposeView({ ...view, number: view.number + 1, backups });
  }

  #step(step: () => void): void {
    if (this.#isStopped) return;
    try {
      step();
    } catch (err) {
      this.#stopOn(err);
      return;
    }
    this.#collect();
  }

  #collect(): void {
    this.#queue.push(...this.#replica.takeEffects());
    if (this.#isBusy) return;
    this.#isBusy = true;
    this.#carryOutAll()
      .catch((err) => this.#stopOn(err))
      .finally(() => {
        this.#isBusy = false;
        if (this.#queue.length > 0) this.#collect();
      });
  }

  async #carryOutAll(): Promise<void> {
    const { store } = this.#options;
    while (this.#queue.length > 0 && !this.#isStopped) {
      const round = this.#queue;
      this.#queue = [];
      const writes = round.filter((e): e is Write => e.type === "write");
      if (writes.length > 0) {
        await store?.write(writes, () => this.#replica.save());
      }
      for (const effect of round) this.#carryOut(effect);
      for (const write of writes) this.#replica.onWritten(write.index);
      this.#queue.push(...this.#replica.takeEffects());
    }
  }

  #carryOut(effect: LedgerEffect): void {
    if (effect.type === "send") {
      const { message } = effect;
      const to = instanceOfProcess(message.to);
      this.#options.hub.send(to, { channel: "ledger", body: message });
    } else if (effect.type === "applied") {
      this.#onApplied(effect.entry.index, effect.entry.record, effect.error);
    } else if (effect.type === "role") this.#onRole(effect.isPrimary);
    else if (effect.type === "proposeView") this.#proposeView(effect.view);
  }

  #onApplied(
    index: number,
    record: LedgerRecord,
    error: Error | undefined,
  ): void {
    if (error === undefined) {
      for (const listener of this.#applied) listener(record);
    }
    const waiter = this.#waiters.get(index);
    if (waiter === undefined) return;
    this.#waiters.delete(index);
    if (error === undefined) waiter.resolve();
    else waiter.reject(error);
  }

  #onRole(isPrimary: boolean): void {
    const name = isPrimary ? "ledgerPrimary" : "ledgerBackup";
    this.#options.logger.event(name, { process: this.#options.process });
    if (!isPrimary) this.#failWaiters();
    for (const listener of this.#primary) listener(isPrimary);
  }

  #failWaiters(): void {
    const waiters = [...this.#waiters.values()];
    this.#waiters.clear();
    for (const waiter of waiters) {
      waiter.reject(unavailable(Verdict.MayHaveRun));
    }
  }

  #proposeView(view: LedgerView): void {
    this.#options.control.propose({ type: "setLedgerView", view })
      .catch(() => {
        // The proposal is repeated while it is of use.
      });
  }

  #stopOn(err: unknown): void {
    this.#options.logger.event("ledgerStopped", { detail: String(err) });
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#failWaiters();
    for (const listener of this.#primary) listener(false);
  }
}

function unavailable(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.LedgerUnavailable, verdict, {
    message: "The ledger of the data centre cannot be reached",
    retryAfterMs: RETRY_MS,
  });
}

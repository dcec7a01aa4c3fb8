/** The ledger of a data centre with several instances. */
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
import { delay } from "../delay.ts";
import { isStorageError } from "../storage/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { LedgerPort, RecordListener } from "./ledger_port.ts";
import type { LedgerStore } from "./ledger_store.ts";

type Write = Extract<LedgerEffect, { type: "write" }>;

/** Options of {@link LedgerTask}. */
export interface LedgerTaskOptions {
  /** ID of this process in ledger views. */
  readonly process: string;
  readonly dataCentre: string;
  /** Store; undefined on instances without a data folder. */
  readonly store: LedgerStore | undefined;
  readonly hub: PeerHub;
  /** Control log, which holds the ledger's views. */
  readonly control: ControlPort;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

interface Waiter {
  readonly since: number;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

/** Desired number of backups in addition to the primary. */
const WANTED_BACKUPS = 2;
const HEARTBEAT_INTERVAL_MS = 300;
/**
 * Time without a commit after which backups that are behind or absent are
 * removed from the view.
 */
const STALL_TIMEOUT_MS = 2_000;
const RETRY_AFTER_MS = 1_000;
const DISK_RETRY_DELAY_MS = 500;

/** Runs an instance's replica of the ledger on its store and its links. */
export class LedgerTask implements LedgerPort {
  readonly #options: LedgerTaskOptions;
  readonly #replica: LedgerReplica;
  readonly #waiters = new Map<number, Waiter>();
  readonly #appliedListeners: RecordListener[] = [];
  readonly #primaryListeners: ((isPrimary: boolean) => void)[] = [];
  readonly #timer: NodeJS.Timeout;
  #effects: LedgerEffect[] = [];
  #isExecuting = false;
  #isStopped = false;
  #stalledSince: number | undefined;

  /** Subscribes to messages and views, and starts the heartbeat. */
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
    this.#timer = setInterval(() => this.#onHeartbeat(), HEARTBEAT_INTERVAL_MS);
  }

  /** Gets the state after the last record applied by this instance. */
  get state(): LedgerState {
    return this.#replica.state;
  }

  /** Gets whether this instance is the primary, which orders the records. */
  get isPrimary(): boolean {
    return this.#replica.isPrimary && !this.#isStopped;
  }

  /** Gets the instance of the primary; undefined if there is no view. */
  get primaryInstance(): string | undefined {
    const primary = this.#replica.view?.primary;
    return primary === undefined ? undefined : instanceOfProcess(primary);
  }

  /** Gets the replica, to read its status. */
  get replica(): LedgerReplica {
    return this.#replica;
  }

  /**
   * Appends a record and waits until every member of the view has stored it.
   * @throws RefusalError with verdict `notRun` if this instance is not the
   *     primary, or `mayHaveRun` if it ceases to be.
   * @throws InvariantError if the record would violate an invariant.
   */
  append(record: LedgerRecord): Promise<void> {
    const index = this.isPrimary ? this.#replica.append(record) : undefined;
    if (index === undefined) {
      return Promise.reject(createUnavailableError(Verdict.NotRun));
    }
    return new Promise((resolve, reject) => {
      const since = this.#options.now();
      this.#waiters.set(index, { since, resolve, reject });
      this.#drainEffects();
    });
  }

  onApplied(listener: RecordListener): void {
    this.#appliedListeners.push(listener);
  }

  /**
   * Adds a listener, called when this instance becomes primary or ceases to be,
   * and at once if it is primary.
   */
  onPrimaryChanged(listener: (isPrimary: boolean) => void): void {
    this.#primaryListeners.push(listener);
    if (this.isPrimary) listener(true);
  }

  /** Stops the replica, rejects waiting records and closes the store. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#rejectWaiters();
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

  #onHeartbeat(): void {
    this.#step(() => {
      this.#replica.hello();
      this.#replica.retryProposedView();
      this.#replica.compact();
    });
    this.#removeSilentBackups();
  }

  /**
   * Proposes a view without the backups that are behind or absent, once commits
   * have been stalled for {@link STALL_TIMEOUT_MS}.
   */
  #removeSilentBackups(): void {
    const { now, hub } = this.#options;
    const view = this.#replica.view;
    const isStalled = this.isPrimary && view !== undefined &&
      this.#replica.committed < this.#replica.last.index;
    if (!isStalled) {
      this.#stalledSince = undefined;
      return;
    }
    this.#stalledSince ??= now();
    if (now() - this.#stalledSince < STALL_TIMEOUT_MS) return;
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
      this.#fail(err);
      return;
    }
    this.#drainEffects();
  }

  #drainEffects(): void {
    this.#effects.push(...this.#replica.takeEffects());
    if (this.#isExecuting) return;
    this.#isExecuting = true;
    this.#executeEffects()
      .catch((err) => this.#fail(err))
      .finally(() => {
        this.#isExecuting = false;
        if (this.#effects.length > 0) this.#drainEffects();
      });
  }

  async #executeEffects(): Promise<void> {
    const { store } = this.#options;
    while (this.#effects.length > 0 && !this.#isStopped) {
      const round = this.#effects;
      this.#effects = [];
      const writes = round.filter((e): e is Write => e.type === "write");
      if (writes.length > 0 && store !== undefined) {
        await this.#writeUntilStored(store, writes);
      }
      for (const effect of round) this.#execute(effect);
      for (const write of writes) this.#replica.onWritten(write.index);
      this.#effects.push(...this.#replica.takeEffects());
    }
  }

  /** Stores writes, and tries again while the disk does not take them. */
  async #writeUntilStored(
    store: LedgerStore,
    writes: readonly Write[],
  ): Promise<void> {
    for (;;) {
      try {
        await store.write(writes, () => this.#replica.save());
        return;
      } catch (err) {
        if (this.#isStopped || !isStorageError(err)) throw err;
        this.#options.logger
          .event("ledgerStoreFailed", { detail: String(err) });
        await delay(DISK_RETRY_DELAY_MS);
      }
    }
  }

  #execute(effect: LedgerEffect): void {
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
      for (const listener of this.#appliedListeners) listener(record);
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
    if (!isPrimary) this.#rejectWaiters();
    for (const listener of this.#primaryListeners) listener(isPrimary);
  }

  #rejectWaiters(): void {
    const waiters = [...this.#waiters.values()];
    this.#waiters.clear();
    for (const waiter of waiters) {
      waiter.reject(createUnavailableError(Verdict.MayHaveRun));
    }
  }

  #proposeView(view: LedgerView): void {
    this.#options.control.propose({ type: "setLedgerView", view })
      .catch(() => {
        // The replica repeats the proposal for as long as it is needed.
      });
  }

  #fail(err: unknown): void {
    // A write that the stop has interrupted fails, too.
    if (this.#isStopped) return;
    this.#options.logger.event("ledgerStopped", { detail: String(err) });
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#rejectWaiters();
    for (const listener of this.#primaryListeners) listener(false);
  }
}

function createUnavailableError(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.LedgerUnavailable, verdict, {
    message: "The ledger of the data centre cannot be reached",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

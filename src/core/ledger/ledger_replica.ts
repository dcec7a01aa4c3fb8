/** A replica of a data centre's ledger: primary, backup or joining replica. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { LedgerView } from "../views/mod.ts";
import {
  type LedgerEntry,
  LedgerLog,
  type LedgerPosition,
} from "./ledger_log.ts";
import type {
  LedgerAck,
  LedgerAppend,
  LedgerHello,
  LedgerMessage,
  LedgerRefusal,
  LedgerTransfer,
} from "./ledger_message.ts";
import type { LedgerRecord } from "./ledger_record.ts";
import {
  ALL_LEDGER_GUARDS,
  type LedgerGuards,
  type LedgerReplicaOptions,
  type StoredLedger,
} from "./ledger_options.ts";
import type { LedgerEffect } from "./ledger_effect.ts";
import { type LedgerSnapshot, LedgerState } from "./ledger_state.ts";

type Handlers = {
  readonly [T in LedgerMessage["type"]]: (
    message: Extract<LedgerMessage, { type: T }>,
  ) => void;
};

/** Maximum number of entries in one message. */
const MAX_ENTRIES = 128;
/** Limits of the applied entries retained for lagging replicas. */
const RETENTION = { maxEntries: 4_096, maxBytes: 16_777_216 };

/**
 * Implements primary-backup replication of the ledger.
 *
 * The primary appends records and commits them once all backups have stored
 * them. The replica does no I/O: methods queue effects, which the owner fetches
 * with {@link LedgerReplica.takeEffects} and carries out in order.
 *
 * @example
 * ```ts
 * replica.setView(view);
 * const index = replica.append(record);
 * for (const effect of replica.takeEffects()) await carryOut(effect);
 * ```
 */
export class LedgerReplica {
  /** State up to the last applied record. */
  readonly state = new LedgerState();
  readonly #self: string;
  readonly #wantedBackups: number;
  readonly #guards: LedgerGuards;
  readonly #log: LedgerLog;
  readonly #acked = new Map<string, number>();
  readonly #handlers: Handlers;
  #epoch: number;
  #view: LedgerView | undefined;
  #proposedView: LedgerView | undefined;
  #highestView: number;
  #primarySinceView = 0;
  #written: number;
  #applied: number;
  #committed: number;
  #effects: LedgerEffect[] = [];

  /** Creates a replica from its stored state. */
  constructor(options: LedgerReplicaOptions) {
    const { stored } = options;
    this.#self = options.self;
    this.#wantedBackups = options.wantedBackups;
    this.#guards = options.guards ?? ALL_LEDGER_GUARDS;
    const base = stored?.base ?? { index: 0, view: 0 };
    this.#log = new LedgerLog(base, stored?.entries);
    this.#epoch = stored?.epoch ?? 0;
    this.#highestView = stored?.view ?? 0;
    this.#written = this.#log.last.index;
    this.#applied = base.index;
    this.#committed = base.index;
    if (stored?.snapshot !== undefined) this.state.load(stored.snapshot);
    this.#handlers = {
      hello: (m) => this.#onHello(m),
      append: (m) => this.#onAppend(m),
      transfer: (m) => this.#onTransfer(m),
      ack: (m) => this.#onAck(m),
      refusal: (m) => this.#onRefusal(m),
    };
  }

  /** Gets the identity of this process. */
  get self(): string {
    return this.#self;
  }

  /** Gets the current view, or undefined before the first one. */
  get view(): LedgerView | undefined {
    return this.#view;
  }

  /** Gets whether this process is the primary of the current view. */
  get isPrimary(): boolean {
    return this.#view?.primary === this.#self;
  }

  /** Gets the index and view of the last held record. */
  get last(): LedgerPosition {
    return this.#log.last;
  }

  /**
   * Gets the highest committed index. All members of the view hold the records
   * up to it.
   */
  get committed(): number {
    return this.#committed;
  }

  /** Gets whether a process has acknowledged every record held here. */
  isCaughtUp(process: string): boolean {
    return (this.#acked.get(process) ?? -1) >= this.last.index;
  }

  /** Returns the queued effects and clears the queue. */
  takeEffects(): LedgerEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Installs a view from the control log. Ignored if it is not newer. */
  setView(view: LedgerView): void {
    if (view.number <= this.#viewNumber()) return;
    if (view.number < this.#highestView) return;
    const wasPrimary = this.isPrimary;
    const previous = this.#view;
    if (view.epoch > this.#epoch) this.#reset(view.epoch);
    this.#view = view;
    this.#proposedView = undefined;
    this.#highestView = view.number;
    this.#dropAcksOfRemoved(previous, view);
    this.#write({ entries: [] });
    if (wasPrimary !== this.isPrimary) {
      this.#acked.clear();
      this.#primarySinceView = view.number;
      this.#effects.push({ type: "role", isPrimary: this.isPrimary });
    }
    if (this.isPrimary) this.#advanceCommit();
    else this.hello();
  }

  /**
   * Appends a record as primary.
   *
   * @returns Its index, or undefined if this process is not the primary.
   */
  append(record: LedgerRecord): number | undefined {
    if (!this.isPrimary) return undefined;
    const entry: LedgerEntry = {
      index: this.last.index + 1,
      view: this.#viewNumber(),
      record,
    };
    const prev = this.last;
    this.#log.append([entry]);
    this.#write({ entries: [entry] });
    for (const id of this.#recipients()) {
      if (this.#acked.has(id)) this.#sendAppend(id, [entry], prev);
    }
    return entry.index;
  }

  /** Reports this replica's last position to the primary. */
  hello(): void {
    const view = this.#view;
    if (view === undefined || this.isPrimary) return;
    this.#send({
      type: "hello",
      ...this.#envelope(view.primary),
      epoch: this.#epoch,
      lastIndex: this.last.index,
      lastView: this.last.view,
    });
  }

  /** Handles the completion of a synced write. */
  onWritten(index: number): void {
    this.#written = Math.max(this.#written, Math.min(index, this.last.index));
    if (this.isPrimary) this.#advanceCommit();
  }

  /** Handles a message from another replica. */
  receive(message: LedgerMessage): void {
    if (message.to !== this.#self) return;
    const handler = this.#handlers[message.type] as (m: LedgerMessage) => void;
    handler(message);
  }

  /** Drops old applied entries, except those retained for lagging replicas. */
  compact(): void {
    const upTo = Math.min(this.#applied, this.#log.excessIndex(RETENTION));
    if (upTo <= this.#log.base.index) return;
    this.#log.dropUpTo(upTo);
  }

  /** Gets the complete persistent state, for rewriting the store. */
  save(): StoredLedger {
    const view = this.#log.viewAt(this.#applied) ?? 0;
    return {
      epoch: this.#epoch,
      view: this.#highestView,
      snapshot: this.state.save(),
      base: { index: this.#applied, view },
      entries: this.#log.after(this.#applied),
    };
  }

  #viewNumber(): number {
    return this.#view?.number ?? 0;
  }

  #envelope(to: string): { from: string; to: string; view: number } {
    return { from: this.#self, to, view: this.#viewNumber() };
  }

  #send(message: LedgerMessage): void {
    this.#effects.push({ type: "send", message });
  }

  #write(write: {
    entries: readonly LedgerEntry[];
    truncateAfter?: number;
    snapshot?: LedgerSnapshot;
    base?: LedgerPosition;
  }): void {
    this.#effects.push({
      type: "write",
      epoch: this.#epoch,
      view: this.#highestView,
      ...write,
      index: this.last.index,
    });
  }

  /**
   * Gets the replicas that must acknowledge a commit, including the backup that
   * is being added.
   */
  #requiredAcks(): string[] {
    const backups = this.#view?.backups ?? [];
    return [...new Set([...backups, ...this.#proposedView?.backups ?? []])];
  }

  #recipients(): string[] {
    return [...new Set([...this.#requiredAcks(), ...this.#acked.keys()])];
  }

  #reset(epoch: number): void {
    this.#epoch = epoch;
    this.#log.reset({ index: 0, view: 0 });
    this.#written = 0;
    this.#applied = 0;
    this.#committed = 0;
    this.state.load(new LedgerState().save());
    this.#write({
      entries: [],
      base: { index: 0, view: 0 },
      snapshot: this.state.save(),
    });
  }

  /**
   * Drops acknowledgements of removed backups, which must report their
   * position before they can rejoin.
   */
  #dropAcksOfRemoved(
    previous: LedgerView | undefined,
    view: LedgerView,
  ): void {
    for (const id of previous?.backups ?? []) {
      if (!view.backups.includes(id)) this.#acked.delete(id);
    }
  }

  #advanceCommit(): void {
    if (!this.isPrimary) return;
    let stored = this.#written;
    if (this.#guards.waitsForBackups) {
      for (const id of this.#requiredAcks()) {
        stored = Math.min(stored, this.#acked.get(id) ?? 0);
      }
    }
    this.#applyUpTo(Math.min(stored, this.last.index));
    this.#proposeJoiner();
  }

  #applyUpTo(index: number): void {
    for (let i = this.#applied + 1; i <= index; i += 1) {
      const entry = this.#log.entryAt(i);
      if (entry === undefined) return;
      const error = this.state.apply(entry.record);
      this.#applied = i;
      this.#effects.push({ type: "applied", entry, error });
    }
    this.#committed = Math.max(this.#committed, index);
  }

  #proposeJoiner(): void {
    const view = this.#view;
    if (view === undefined || this.#proposedView !== undefined) return;
    if (view.backups.length >= this.#wantedBackups) return;
    for (const [id, index] of this.#acked) {
      if (view.backups.includes(id)) continue;
      if (index < this.last.index && this.#guards.joinerCaughtUp) continue;
      this.#proposedView = {
        ...view,
        number: view.number + 1,
        backups: [...view.backups, id],
      };
      this.#effects.push({ type: "proposeView", view: this.#proposedView });
      return;
    }
  }

  /** Repeats the proposal of a view, in case the earlier one was lost. */
  retryProposedView(): void {
    if (!this.isPrimary || this.#proposedView === undefined) return;
    this.#effects.push({ type: "proposeView", view: this.#proposedView });
  }

  #sendAppend(
    to: string,
    entries: readonly LedgerEntry[],
    prev: LedgerPosition,
  ): void {
    this.#send({
      type: "append",
      ...this.#envelope(to),
      entries,
      prevIndex: prev.index,
      prevView: prev.view,
      committed: this.#committed,
    });
  }

  #onHello(message: LedgerHello): void {
    if (!this.isPrimary || message.view > this.#viewNumber()) return;
    const isMember = this.#view?.backups.includes(message.from) ?? false;
    const needsBackup = (this.#view?.backups.length ?? 0) < this.#wantedBackups;
    if (!isMember && !needsBackup) return;
    if (!this.#acked.has(message.from)) this.#acked.set(message.from, 0);
    const { lastIndex, lastView } = message;
    const hasMatchingEntry = message.epoch === this.#epoch &&
      this.#log.viewAt(lastIndex) === lastView;
    if (!hasMatchingEntry) {
      this.#sendTransfer(message.from);
      return;
    }
    const entries = this.#log.after(lastIndex);
    let prev: LedgerPosition = { index: lastIndex, view: lastView };
    do {
      const batch = entries.splice(0, MAX_ENTRIES);
      this.#sendAppend(message.from, batch, prev);
      prev = batch.at(-1) ?? prev;
    } while (entries.length > 0);
  }

  #sendTransfer(to: string): void {
    const view = this.#log.viewAt(this.#applied) ?? 0;
    this.#send({
      type: "transfer",
      ...this.#envelope(to),
      epoch: this.#epoch,
      snapshot: this.state.save(),
      index: this.#applied,
      lastView: view,
    });
    const rest = this.#log.after(this.#applied);
    if (rest.length === 0) return;
    this.#sendAppend(to, rest, { index: this.#applied, view });
  }

  #refuseOldView(message: LedgerAppend | LedgerTransfer): boolean {
    if (!this.#guards.refusesOldView) return false;
    if (message.view >= this.#highestView) return false;
    this.#send({ type: "refusal", ...this.#envelope(message.from) });
    return true;
  }

  #onAppend(message: LedgerAppend): void {
    if (this.#refuseOldView(message)) return;
    this.#recordNewerView(message.view);
    const { prevIndex, prevView, entries } = message;
    if (this.#log.viewAt(prevIndex) !== prevView) {
      if (prevIndex > this.last.index) this.hello();
      return;
    }
    const start = entries.findIndex((entry) =>
      this.#log.viewAt(entry.index) !== entry.view
    );
    if (start >= 0) this.#storeEntries(entries.slice(start));
    const lastHeld = prevIndex + entries.length;
    this.#applyUpTo(Math.min(message.committed, lastHeld));
    this.#sendAck(message, lastHeld);
  }

  /**
   * Persists a newer view number seen in a message, so that older views are
   * refused even before the view itself arrives.
   */
  #recordNewerView(view: number): void {
    if (view <= this.#highestView) return;
    this.#highestView = view;
    this.#write({ entries: [] });
  }

  #sendAck(message: LedgerAppend | LedgerTransfer, index: number): void {
    const { from, view } = message;
    this.#send({ type: "ack", from: this.#self, to: from, view, index });
  }

  #storeEntries(entries: readonly LedgerEntry[]): void {
    const truncateAfter = entries[0].index - 1;
    if (truncateAfter < this.last.index) {
      assertInvariant(
        truncateAfter >= this.#applied,
        Invariant.CommittedStays,
        `Record ${truncateAfter + 1} is applied (up to ${this.#applied})`,
      );
      this.#log.truncateAfter(truncateAfter);
    }
    this.#log.append(entries);
    this.#write({ entries, truncateAfter });
  }

  #onTransfer(message: LedgerTransfer): void {
    if (this.#refuseOldView(message)) return;
    this.#recordNewerView(message.view);
    const isAlreadyHeld = message.epoch === this.#epoch &&
      this.#log.viewAt(message.index) === message.lastView;
    if (isAlreadyHeld) {
      this.#sendAck(message, message.index);
      return;
    }
    this.#epoch = message.epoch;
    const base = { index: message.index, view: message.lastView };
    this.#log.reset(base);
    this.state.load(message.snapshot);
    this.#applied = message.index;
    this.#committed = message.index;
    this.#written = message.index;
    this.#write({ entries: [], base, snapshot: message.snapshot });
    this.#sendAck(message, message.index);
  }

  #onAck(message: LedgerAck): void {
    if (!this.isPrimary || !this.#acked.has(message.from)) return;
    if (message.view < this.#primarySinceView) return;
    const acked = this.#acked.get(message.from) ?? 0;
    this.#acked.set(message.from, Math.max(acked, message.index));
    this.#advanceCommit();
  }

  #onRefusal(message: LedgerRefusal): void {
    if (message.view <= this.#viewNumber()) return;
    this.#acked.delete(message.from);
  }
}

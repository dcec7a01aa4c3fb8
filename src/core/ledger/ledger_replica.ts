/** A replica of a data centre's ledger: primary, backup or joiner. */
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
import { type LedgerSnapshot, LedgerState } from "./ledger_state.ts";

/** What a ledger replica had stored when it stopped. */
export interface StoredLedger {
  /** Epoch of the state. */
  readonly epoch: number;
  /** Greatest view that it has taken part in. */
  readonly view: number;
  /** State up to a position. */
  readonly snapshot?: LedgerSnapshot;
  /** That position. */
  readonly base: LedgerPosition;
  /** Entries after it. */
  readonly entries: readonly LedgerEntry[];
}

/**
 * What the owner is to do; effects are carried out strictly in order.
 *
 * A `write` must be synced, where there is a disk, before any later effect,
 * and `onWritten` is then called with its `index`.
 */
export type LedgerEffect =
  | {
    readonly type: "write";
    readonly epoch: number;
    readonly view: number;
    /** State that replaces all that was stored. */
    readonly snapshot?: LedgerSnapshot;
    readonly base?: LedgerPosition;
    /** Position after which stored entries are replaced. */
    readonly truncateAfter?: number;
    readonly entries: readonly LedgerEntry[];
    /** Last position that is stored after the write. */
    readonly index: number;
  }
  | { readonly type: "send"; readonly message: LedgerMessage }
  | {
    readonly type: "applied";
    readonly entry: LedgerEntry;
    /** Promise that the record would have broken. */
    readonly error: Error | undefined;
  }
  | { readonly type: "role"; readonly isPrimary: boolean }
  | { readonly type: "proposeView"; readonly view: LedgerView };

/** Checks that a test may take out, to show that the soak misses them. */
export interface LedgerGuards {
  /** The primary answers only after its backups hold the record. */
  readonly waitsForBackups: boolean;
  /** A member of a newer view refuses an older view's primary. */
  readonly refusesOldView: boolean;
  /** A joiner counts only once it holds everything. */
  readonly joinerWhole: boolean;
}

/** All checks in place. */
export const ALL_LEDGER_GUARDS: LedgerGuards = {
  waitsForBackups: true,
  refusesOldView: true,
  joinerWhole: true,
};

/** Options of {@link LedgerReplica}. */
export interface LedgerReplicaOptions {
  /** This process, with the incarnation of its disk or of its life. */
  readonly self: string;
  /** What it had stored. */
  readonly stored?: StoredLedger;
  /** Backups wanted beside the primary. */
  readonly wantedBackups: number;
  /** Checks in place; all where absent. */
  readonly guards?: LedgerGuards;
}

type Handlers = {
  readonly [T in LedgerMessage["type"]]: (
    message: Extract<LedgerMessage, { type: T }>,
  ) => void;
};

/** Entries in one message. */
const MAX_ENTRIES = 128;
/** Applied entries kept for replicas that lag a little. */
const KEPT_ENTRIES = 4_096;

/**
 * Orders records as primary, or holds them as backup.
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
  #proposed: LedgerView | undefined;
  #highestView: number;
  #primarySince = 0;
  #written: number;
  #applied: number;
  #committed: number;
  #effects: LedgerEffect[] = [];

  /** Creates a replica from what was stored. */
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

  /** Gets this process. */
  get self(): string {
    return this.#self;
  }

  /** Gets the current view. */
  get view(): LedgerView | undefined {
    return this.#view;
  }

  /** Gets whether this process orders the records. */
  get isPrimary(): boolean {
    return this.#view?.primary === this.#self;
  }

  /** Gets the position of the last held record. */
  get last(): LedgerPosition {
    return this.#log.last;
  }

  /** Gets the greatest position that every member holds. */
  get committed(): number {
    return this.#committed;
  }

  /** Gets whether a process has stored every record held here. */
  isCaughtUp(process: string): boolean {
    return (this.#acked.get(process) ?? -1) >= this.last.index;
  }

  /** Takes the collected effects. */
  takeEffects(): LedgerEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Takes in a view of the control log; an older one changes nothing. */
  setView(view: LedgerView): void {
    if (view.number <= this.#viewNumber()) return;
    if (view.number < this.#highestView) return;
    const wasPrimary = this.isPrimary;
    const former = this.#view;
    if (view.epoch > this.#epoch) this.#reset(view.epoch);
    this.#view = view;
    this.#proposed = undefined;
    this.#highestView = view.number;
    this.#forgetRemoved(former, view);
    this.#write({ entries: [] });
    if (wasPrimary !== this.isPrimary) {
      this.#acked.clear();
      this.#primarySince = view.number;
      this.#effects.push({ type: "role", isPrimary: this.isPrimary });
    }
    if (this.isPrimary) this.#advance();
    else this.hello();
  }

  /**
   * Adds a record to the order.
   * @returns Its position, or undefined where this process is not primary.
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
    for (const id of this.#receivers()) {
      if (this.#acked.has(id)) this.#sendAppend(id, [entry], prev);
    }
    return entry.index;
  }

  /** Tells the primary how far this replica has come. */
  hello(): void {
    const view = this.#view;
    if (view === undefined || this.isPrimary) return;
    this.#send({
      type: "hello",
      ...this.#base(view.primary),
      epoch: this.#epoch,
      lastIndex: this.last.index,
      lastView: this.last.view,
    });
  }

  /** Records that a write has been synced. */
  onWritten(index: number): void {
    this.#written = Math.max(this.#written, Math.min(index, this.last.index));
    if (this.isPrimary) this.#advance();
  }

  /** Takes in a message. */
  receive(message: LedgerMessage): void {
    if (message.to !== this.#self) return;
    const handler = this.#handlers[message.type] as (m: LedgerMessage) => void;
    handler(message);
  }

  /** Gets the state and drops applied entries, to be stored. */
  compact(): void {
    const upTo = this.#applied - KEPT_ENTRIES;
    if (upTo <= this.#log.base.index) return;
    this.#log.dropUpTo(upTo);
  }

  /** Gets everything that must survive, for a whole rewrite of the store. */
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

  #base(to: string): { from: string; to: string; view: number } {
    return { from: this.#self, to, view: this.#viewNumber() };
  }

  #send(message: LedgerMessage): void {
    this.#effects.push({ type: "send", message });
  }

  #write(parts: {
    entries: readonly LedgerEntry[];
    truncateAfter?: number;
    snapshot?: LedgerSnapshot;
    base?: LedgerPosition;
  }): void {
    this.#effects.push({
      type: "write",
      epoch: this.#epoch,
      view: this.#highestView,
      ...parts,
      index: this.last.index,
    });
  }

  /** Members whose word a commit waits for, the proposed joiner included. */
  #awaited(): string[] {
    const backups = this.#view?.backups ?? [];
    return [...new Set([...backups, ...this.#proposed?.backups ?? []])];
  }

  #receivers(): string[] {
    return [...new Set([...this.#awaited(), ...this.#acked.keys()])];
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

  /** A replica that left the view must ask again before it may return. */
  #forgetRemoved(former: LedgerView | undefined, view: LedgerView): void {
    for (const id of former?.backups ?? []) {
      if (!view.backups.includes(id)) this.#acked.delete(id);
    }
  }

  #advance(): void {
    if (!this.isPrimary) return;
    let stored = this.#written;
    if (this.#guards.waitsForBackups) {
      for (const id of this.#awaited()) {
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
    if (view === undefined || this.#proposed !== undefined) return;
    if (view.backups.length >= this.#wantedBackups) return;
    for (const [id, index] of this.#acked) {
      if (view.backups.includes(id)) continue;
      if (index < this.last.index && this.#guards.joinerWhole) continue;
      this.#proposed = {
        ...view,
        number: view.number + 1,
        backups: [...view.backups, id],
      };
      this.#effects.push({ type: "proposeView", view: this.#proposed });
      return;
    }
  }

  /** Asks again for a proposed view, as after a lost answer. */
  repropose(): void {
    if (!this.isPrimary || this.#proposed === undefined) return;
    this.#effects.push({ type: "proposeView", view: this.#proposed });
  }

  #sendAppend(
    to: string,
    entries: readonly LedgerEntry[],
    prev: LedgerPosition,
  ): void {
    this.#send({
      type: "append",
      ...this.#base(to),
      entries,
      prevIndex: prev.index,
      prevView: prev.view,
      committed: this.#committed,
    });
  }

  #onHello(message: LedgerHello): void {
    if (!this.isPrimary || message.view > this.#viewNumber()) return;
    const isMember = this.#view?.backups.includes(message.from) ?? false;
    const hasPlace = (this.#view?.backups.length ?? 0) < this.#wantedBackups;
    if (!isMember && !hasPlace) return;
    if (!this.#acked.has(message.from)) this.#acked.set(message.from, 0);
    const { lastIndex, lastView } = message;
    const isKnown = message.epoch === this.#epoch &&
      this.#log.viewAt(lastIndex) === lastView;
    if (!isKnown) {
      this.#sendTransfer(message.from);
      return;
    }
    const entries = this.#log.after(lastIndex);
    let prev: LedgerPosition = { index: lastIndex, view: lastView };
    do {
      const part = entries.splice(0, MAX_ENTRIES);
      this.#sendAppend(message.from, part, prev);
      prev = part.at(-1) ?? prev;
    } while (entries.length > 0);
  }

  #sendTransfer(to: string): void {
    const view = this.#log.viewAt(this.#applied) ?? 0;
    this.#send({
      type: "transfer",
      ...this.#base(to),
      epoch: this.#epoch,
      snapshot: this.state.save(),
      index: this.#applied,
      lastView: view,
    });
    const rest = this.#log.after(this.#applied);
    if (rest.length === 0) return;
    this.#sendAppend(to, rest, { index: this.#applied, view });
  }

  #isOldView(message: LedgerAppend | LedgerTransfer): boolean {
    if (!this.#guards.refusesOldView) return false;
    if (message.view >= this.#highestView) return false;
    this.#send({ type: "refusal", ...this.#base(message.from) });
    return true;
  }

  #onAppend(message: LedgerAppend): void {
    if (this.#isOldView(message)) return;
    this.#raiseView(message.view);
    const { prevIndex, prevView, entries } = message;
    if (this.#log.viewAt(prevIndex) !== prevView) {
      if (prevIndex > this.last.index) this.hello();
      return;
    }
    const start = entries.findIndex((entry) =>
      this.#log.viewAt(entry.index) !== entry.view
    );
    if (start >= 0) this.#store(entries.slice(start));
    const held = prevIndex + entries.length;
    this.#applyUpTo(Math.min(message.committed, held));
    this.#sendAck(message, held);
  }

  /** Remembers a newer view before it is known, to refuse older ones. */
  #raiseView(view: number): void {
    if (view <= this.#highestView) return;
    this.#highestView = view;
    this.#write({ entries: [] });
  }

  #sendAck(message: LedgerAppend | LedgerTransfer, index: number): void {
    const { from, view } = message;
    this.#send({ type: "ack", from: this.#self, to: from, view, index });
  }

  #store(entries: readonly LedgerEntry[]): void {
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
    if (this.#isOldView(message)) return;
    this.#raiseView(message.view);
    const isHeld = message.epoch === this.#epoch &&
      this.#log.viewAt(message.index) === message.lastView;
    if (isHeld) {
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
    if (message.view < this.#primarySince) return;
    const known = this.#acked.get(message.from) ?? 0;
    this.#acked.set(message.from, Math.max(known, message.index));
    this.#advance();
  }

  #onRefusal(message: LedgerRefusal): void {
    if (message.view <= this.#viewNumber()) return;
    this.#acked.delete(message.from);
  }
}

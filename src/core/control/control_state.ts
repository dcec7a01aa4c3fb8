/** The state of the control log: a fold over its commands. */
import {
  assertInvariant,
  Invariant,
  InvariantError,
} from "../invariants/mod.ts";
import { KeyDirectory, type KeyRecord } from "../keys/mod.ts";
import type { SealedWindow } from "../ledger/mod.ts";
import {
  type ChangeAnswer,
  ConfigurationStore,
  type ConfigurationStoreState,
} from "./configuration_store.ts";
import type {
  ControlCommand,
  OrderIntent,
  OrderOutcome,
} from "./control_command.ts";
import type { LedgerView } from "../views/mod.ts";
import { digestOf } from "./section_digest.ts";

/** Newest weights of a model. */
export interface AnnouncedWeights {
  /** Version. */
  readonly version: number;
  /** Time of the announcement, in milliseconds since the epoch. */
  readonly at: number;
}

/** A sealed window of a data centre, as it is reported. */
export interface UsageReport {
  /** Data centre. */
  readonly dataCentre: string;
  /** Sealed figures. */
  readonly sealed: SealedWindow;
  /** Whether the receiver has confirmed it. */
  readonly isReported: boolean;
}

/** An order and its outcome, if it has one. */
export interface OrderEntry {
  /** The order. */
  readonly order: OrderIntent;
  /** Sequence number of the intent in the log. */
  readonly sequence: number;
  /** Outcome; undefined while it is open. */
  readonly outcome?: OrderOutcome;
}

/** Answer of the state to a command. */
export type CommandAnswer =
  | ChangeAnswer
  | { readonly type: "done" }
  | { readonly type: "unchanged" }
  | { readonly type: "rejected"; readonly invariant: Invariant };

/** Serializable state of the control log. */
export interface ControlSnapshot {
  readonly configuration: ConfigurationStoreState;
  readonly keys: readonly KeyRecord[];
  readonly weights: readonly (readonly [string, AnnouncedWeights])[];
  readonly views: readonly LedgerView[];
  readonly orders: readonly OrderEntry[];
  readonly usage: readonly UsageReport[];
  readonly sequence: number;
}

type CommandHandlers = {
  readonly [T in ControlCommand["type"]]: (
    command: Extract<ControlCommand, { type: T }>,
  ) => CommandAnswer;
};

const DONE: CommandAnswer = { type: "done" };
const UNCHANGED: CommandAnswer = { type: "unchanged" };
/** Finished orders remembered. */
const MAX_FINISHED_ORDERS = 1_024;
/** Confirmed usage reports remembered for each data centre. */
const MAX_REPORTED_WINDOWS = 1_024;

/**
 * Applies commands in order; the same commands give the same state.
 *
 * @example
 * ```ts
 * const state = new ControlState();
 * state.apply({ type: "withdrawKey", id: "artis-1" }); // { type: "done" }
 * ```
 */
export class ControlState {
  /** The configuration. */
  readonly configuration = new ConfigurationStore();
  /** Callers' keys. */
  readonly keys = new KeyDirectory();
  readonly #weights = new Map<string, AnnouncedWeights>();
  readonly #views = new Map<string, LedgerView>();
  readonly #orders = new Map<string, OrderEntry>();
  readonly #usage = new Map<string, UsageReport>();
  #sequence = 0;
  readonly #handlers: CommandHandlers = {
    changeConfiguration: ({ change }) => this.configuration.apply(change),
    putKey: ({ key }) => {
      this.keys.put(key);
      return DONE;
    },
    withdrawKey: ({ id }) => {
      if (this.keys.get(id) === undefined) return UNCHANGED;
      this.keys.withdraw(id);
      return DONE;
    },
    announceWeights: ({ model, version, at }) => {
      const known = this.#weights.get(model);
      if (known !== undefined && known.version >= version) return UNCHANGED;
      this.#weights.set(model, { version, at });
      return DONE;
    },
    setLedgerView: ({ view }) => this.#setView(view),
    orderIntent: ({ order }) => this.#addOrder(order),
    orderOutcome: ({ id, outcome }) => this.#endOrder(id, outcome),
    sealUsage: ({ dataCentre, sealed }) => this.#seal(dataCentre, sealed),
    usageReported: ({ dataCentre, window }) => {
      const known = this.getUsage(dataCentre, window);
      if (known === undefined || known.isReported) return UNCHANGED;
      const name = usageName(dataCentre, window);
      this.#usage.set(name, { ...known, isReported: true });
      this.#forgetReported(dataCentre);
      return DONE;
    },
  };

  /** Gets the newest announced weights of a model. */
  getWeights(model: string): AnnouncedWeights | undefined {
    return this.#weights.get(model);
  }

  /** Gets the newest announced weights of all models. */
  get weights(): ReadonlyMap<string, AnnouncedWeights> {
    return this.#weights;
  }

  /** Gets the ledger view of a data centre. */
  getView(dataCentre: string): LedgerView | undefined {
    return this.#views.get(dataCentre);
  }

  /** Gets all ledger views. */
  get views(): readonly LedgerView[] {
    return [...this.#views.values()];
  }

  /** Gets an order. */
  getOrder(id: string): OrderEntry | undefined {
    return this.#orders.get(id);
  }

  /** Gets the orders without an outcome, in order of their intents. */
  get openOrders(): readonly OrderEntry[] {
    return [...this.#orders.values()]
      .filter((entry) => entry.outcome === undefined);
  }

  /** Gets a sealed window. */
  getUsage(dataCentre: string, window: number): UsageReport | undefined {
    return this.#usage.get(usageName(dataCentre, window));
  }

  /** Gets all remembered sealed windows. */
  get usage(): readonly UsageReport[] {
    return [...this.#usage.values()];
  }

  /** Applies a command; one that would break a promise is rejected whole. */
  apply(command: ControlCommand): CommandAnswer {
    const handler = this.#handlers[command.type] as (
      command: ControlCommand,
    ) => CommandAnswer;
    try {
      return handler(command);
    } catch (err) {
      if (!(err instanceof InvariantError)) throw err;
      return { type: "rejected", invariant: err.invariant };
    }
  }

  /** Gets the serializable state. */
  save(): ControlSnapshot {
    return {
      configuration: this.configuration.save(),
      keys: this.keys.list(),
      weights: [...this.#weights],
      views: this.views,
      orders: [...this.#orders.values()],
      usage: this.usage,
      sequence: this.#sequence,
    };
  }

  /** Replaces the state by a saved one that is not older. */
  load(snapshot: ControlSnapshot): this {
    this.configuration.load(snapshot.configuration);
    for (const key of snapshot.keys) this.keys.put(key);
    replace(this.#weights, snapshot.weights);
    replace(this.#views, snapshot.views.map((v) => [v.dataCentre, v] as const));
    replace(
      this.#orders,
      snapshot.orders.map((entry) => [entry.order.id, entry] as const),
    );
    replace(
      this.#usage,
      snapshot.usage.map((u) =>
        [usageName(u.dataCentre, u.sealed.window), u] as const
      ),
    );
    this.#sequence = snapshot.sequence;
    return this;
  }

  #setView(view: LedgerView): CommandAnswer {
    const known = this.#views.get(view.dataCentre);
    if (view.number !== (known?.number ?? 0) + 1) return UNCHANGED;
    if (known !== undefined && view.epoch === known.epoch) {
      const members = [known.primary, ...known.backups];
      assertInvariant(
        members.includes(view.primary),
        Invariant.OnePrimaryPerView,
        `Primary ${view.primary} was no member of view ${known.number}`,
      );
    }
    this.#views.set(view.dataCentre, view);
    return DONE;
  }

  #addOrder(order: OrderIntent): CommandAnswer {
    if (this.#orders.has(order.id)) return UNCHANGED;
    this.#sequence += 1;
    this.#orders.set(order.id, { order, sequence: this.#sequence });
    return DONE;
  }

  #endOrder(id: string, outcome: OrderOutcome): CommandAnswer {
    const known = this.#orders.get(id);
    if (known === undefined || known.outcome !== undefined) return UNCHANGED;
    this.#orders.set(id, { ...known, outcome });
    const finished = [...this.#orders.values()]
      .filter((entry) => entry.outcome !== undefined);
    const excess = Math.max(0, finished.length - MAX_FINISHED_ORDERS);
    for (const entry of finished.slice(0, excess)) {
      this.#orders.delete(entry.order.id);
    }
    return DONE;
  }

  #seal(dataCentre: string, sealed: SealedWindow): CommandAnswer {
    const name = usageName(dataCentre, sealed.window);
    const known = this.#usage.get(name);
    if (known !== undefined) {
      assertInvariant(
        digestOf(known.sealed) === digestOf(sealed),
        Invariant.WindowReportedOnce,
        `Window ${name} was sealed with other figures`,
      );
      return UNCHANGED;
    }
    this.#usage.set(name, { dataCentre, sealed, isReported: false });
    return DONE;
  }

  #forgetReported(dataCentre: string): void {
    const reported = this.usage
      .filter((u) => u.dataCentre === dataCentre && u.isReported)
      .sort((a, b) => a.sealed.window - b.sealed.window);
    const excess = Math.max(0, reported.length - MAX_REPORTED_WINDOWS);
    for (const { sealed } of reported.slice(0, excess)) {
      this.#usage.delete(usageName(dataCentre, sealed.window));
    }
  }
}

function usageName(dataCentre: string, window: number): string {
  return `${dataCentre}/${window}`;
}

function replace<T>(
  map: Map<string, T>,
  entries: Iterable<readonly [string, T]>,
): void {
  map.clear();
  for (const [name, value] of entries) map.set(name, value);
}

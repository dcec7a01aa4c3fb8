/** Replicated state of the control log, computed from its commands. */
import {
  assertInvariant,
  Invariant,
  InvariantError,
} from "../invariants/mod.ts";
import { KeyDirectory, type KeyRecord } from "../keys/mod.ts";
import {
  type ChangeResult,
  ConfigurationStore,
  type ConfigurationStoreState,
} from "./configuration_store.ts";
import type {
  ControlCommand,
  OrderIntent,
  OrderOutcome,
} from "./control_command.ts";
import type { LedgerView } from "../views/mod.ts";
import { SealedWindows, type UsageReport } from "./sealed_windows.ts";

/** Newest announced weights of a model. */
export interface AnnouncedWeights {
  readonly version: number;
  /** Time of the announcement, in milliseconds since the Unix epoch. */
  readonly at: number;
}

/** An order with its outcome, once known. */
export interface OrderEntry {
  /** Order as recorded. */
  readonly order: OrderIntent;
  /** Sequence number of the order among all recorded orders. */
  readonly sequence: number;
  /** Outcome; undefined while the order is open. */
  readonly outcome?: OrderOutcome;
}

/** Result of applying a command. */
export type CommandResult =
  | ChangeResult
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
  ) => CommandResult;
};

const DONE: CommandResult = { type: "done" };
const UNCHANGED: CommandResult = { type: "unchanged" };
/** Number of finished orders retained. */
const MAX_FINISHED_ORDERS = 1_024;

/**
 * Applies commands in log order; equal commands give equal state.
 *
 * @example
 * ```ts
 * const state = new ControlState();
 * state.apply({ type: "withdrawKey", id: "artis-1" }); // { type: "done" }
 * ```
 */
export class ControlState {
  /** Configuration with its revisions. */
  readonly configuration = new ConfigurationStore();
  /** API keys of the callers. */
  readonly keys = new KeyDirectory();
  readonly #weights = new Map<string, AnnouncedWeights>();
  readonly #views = new Map<string, LedgerView>();
  readonly #orders = new Map<string, OrderEntry>();
  readonly #usage = new SealedWindows();
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
      const existing = this.#weights.get(model);
      if (existing !== undefined && existing.version >= version) {
        return UNCHANGED;
      }
      this.#weights.set(model, { version, at });
      return DONE;
    },
    setLedgerView: ({ view }) => this.#setView(view),
    orderIntent: ({ order }) => this.#addOrder(order),
    orderOutcome: ({ id, outcome }) => this.#endOrder(id, outcome),
    sealUsage: ({ dataCentre, sealed }) =>
      this.#usage.seal(dataCentre, sealed) ? DONE : UNCHANGED,
    usageReported: ({ dataCentre, window }) =>
      this.#usage.markReported(dataCentre, window) ? DONE : UNCHANGED,
  };

  /** Gets the newest announced weights of a model. */
  getWeights(model: string): AnnouncedWeights | undefined {
    return this.#weights.get(model);
  }

  /** Gets the newest announced weights of all models. */
  get weights(): ReadonlyMap<string, AnnouncedWeights> {
    return this.#weights;
  }

  /** Gets the current ledger view of a data centre. */
  getView(dataCentre: string): LedgerView | undefined {
    return this.#views.get(dataCentre);
  }

  /** Gets the current ledger views of all data centres. */
  get views(): readonly LedgerView[] {
    return [...this.#views.values()];
  }

  /**
   * Gets an order, or undefined if it is not recorded or no longer retained.
   */
  getOrder(id: string): OrderEntry | undefined {
    return this.#orders.get(id);
  }

  /**
   * Gets the orders without an outcome, in the order in which they were
   * recorded.
   */
  get openOrders(): readonly OrderEntry[] {
    return [...this.#orders.values()]
      .filter((entry) => entry.outcome === undefined);
  }

  /** Gets a sealed usage window. */
  getUsage(dataCentre: string, window: number): UsageReport | undefined {
    return this.#usage.get(dataCentre, window);
  }

  /** Gets all retained sealed usage windows. */
  get usage(): readonly UsageReport[] {
    return this.#usage.list();
  }

  /**
   * Applies a command. A command that violates an invariant is rejected and
   * changes nothing.
   */
  apply(command: ControlCommand): CommandResult {
    const handler = this.#handlers[command.type] as (
      command: ControlCommand,
    ) => CommandResult;
    try {
      return handler(command);
    } catch (err) {
      if (!(err instanceof InvariantError)) throw err;
      return { type: "rejected", invariant: err.invariant };
    }
  }

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

  /**
   * Replaces the state with a saved one.
   *
   * @throws InvariantError if the saved configuration is older than the current
   * one.
   */
  load(snapshot: ControlSnapshot): this {
    this.configuration.load(snapshot.configuration);
    for (const key of snapshot.keys) this.keys.put(key);
    replaceEntries(this.#weights, snapshot.weights);
    replaceEntries(
      this.#views,
      snapshot.views.map((v) => [v.dataCentre, v] as const),
    );
    replaceEntries(
      this.#orders,
      snapshot.orders.map((entry) => [entry.order.id, entry] as const),
    );
    this.#usage.load(snapshot.usage);
    this.#sequence = snapshot.sequence;
    return this;
  }

  #setView(view: LedgerView): CommandResult {
    const existing = this.#views.get(view.dataCentre);
    if (view.number !== (existing?.number ?? 0) + 1) return UNCHANGED;
    if (existing !== undefined && view.epoch === existing.epoch) {
      const members = [existing.primary, ...existing.backups];
      assertInvariant(
        members.includes(view.primary),
        Invariant.OnePrimaryPerView,
        `Primary ${view.primary} is not a member of view ${existing.number}`,
      );
    }
    this.#views.set(view.dataCentre, view);
    return DONE;
  }

  #addOrder(order: OrderIntent): CommandResult {
    if (this.#orders.has(order.id)) return UNCHANGED;
    this.#sequence += 1;
    this.#orders.set(order.id, { order, sequence: this.#sequence });
    return DONE;
  }

  #endOrder(id: string, outcome: OrderOutcome): CommandResult {
    const existing = this.#orders.get(id);
    if (existing === undefined || existing.outcome !== undefined) {
      return UNCHANGED;
    }
    this.#orders.set(id, { ...existing, outcome });
    const finished = [...this.#orders.values()]
      .filter((entry) => entry.outcome !== undefined);
    const excess = Math.max(0, finished.length - MAX_FINISHED_ORDERS);
    for (const entry of finished.slice(0, excess)) {
      this.#orders.delete(entry.order.id);
    }
    return DONE;
  }
}

function replaceEntries<T>(
  map: Map<string, T>,
  entries: Iterable<readonly [string, T]>,
): void {
  map.clear();
  for (const [name, value] of entries) map.set(name, value);
}

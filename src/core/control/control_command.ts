/** Commands of the control log. */
import type { KeyRecord } from "../keys/mod.ts";
import type { SealedWindow } from "../ledger/mod.ts";
import type { LedgerView } from "../views/mod.ts";
import type { ConfigurationChange } from "./configuration_store.ts";

/** An order to the platform or to a target, recorded before it is sent. */
export interface OrderIntent {
  /** Identifier. It stays the same when the order is resent. */
  readonly id: string;
  /** Recipient of the order. */
  readonly receiver: string;
  /** Order in the format of the recipient's protocol. */
  readonly body: Readonly<Record<string, unknown>>;
}

/** Outcomes of an order. */
export const OrderOutcome = {
  Done: "done",
  Refused: "refused",
  Abandoned: "abandoned",
} as const;

/** One of the values of {@link OrderOutcome}. */
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** A command of the control log. */
export type ControlCommand =
  | {
    readonly type: "changeConfiguration";
    readonly change: ConfigurationChange;
  }
  | { readonly type: "putKey"; readonly key: KeyRecord }
  | { readonly type: "withdrawKey"; readonly id: string }
  | {
    readonly type: "announceWeights";
    readonly model: string;
    readonly version: number;
    /** Time of the announcement, in milliseconds since the Unix epoch. */
    readonly at: number;
  }
  | { readonly type: "setLedgerView"; readonly view: LedgerView }
  | { readonly type: "orderIntent"; readonly order: OrderIntent }
  | {
    readonly type: "orderOutcome";
    readonly id: string;
    readonly outcome: OrderOutcome;
  }
  | {
    readonly type: "sealUsage";
    readonly dataCentre: string;
    readonly sealed: SealedWindow;
  }
  | {
    readonly type: "usageReported";
    readonly dataCentre: string;
    readonly window: number;
  };

/** Commands of the control log. */
import type { KeyRecord } from "../keys/mod.ts";
import type { SealedWindow } from "../ledger/mod.ts";
import type { LedgerView } from "../views/mod.ts";
import type { ConfigurationChange } from "./configuration_store.ts";

/** An order to the platform or to a target. */
export interface OrderIntent {
  /** Identifier, the same however often the order is sent. */
  readonly id: string;
  /** Whom the order is for. */
  readonly receiver: string;
  /** What is ordered, as the receiver's protocol has it. */
  readonly body: Readonly<Record<string, unknown>>;
}

/** How an order ended. */
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
    /** Time of the announcement, in milliseconds since the epoch. */
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

/** What the duties of the leader need of targets and of the receiver. */

/** State of an engine, as it tells it; some hundred milliseconds old. */
export interface EngineStatus {
  /** Whether it carries out an order. */
  readonly isBusy: boolean;
  /** Number of orders that it has accepted. */
  readonly orders: number;
  readonly versions: Readonly<Record<string, number>>;
}

/** What becomes of the runs of a model while its weights are replaced. */
export const LoadMode = {
  /** They end first. */
  Finish: "finish",
  /** They go on under the new weights. */
  Continue: "continue",
} as const;

/** One of the values of {@link LoadMode}. */
export type LoadMode = typeof LoadMode[keyof typeof LoadMode];

/** Order to load weights. */
export interface LoadOrder {
  readonly target: { readonly id: string; readonly address: string };
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  /** Number of orders after which this one is valid. */
  readonly expectedOrders: number;
}

/** Proof of who is in charge. */
export interface DutyToken {
  readonly holder: string;
  /** Fencing token; greater for every later holder. */
  readonly fence: number;
}

/** How an order ended. */
export const OrderOutcome = {
  Accepted: "accepted",
  /** What it asks for is so already. */
  Held: "held",
  /** Another order runs, or the state has changed. */
  Conflict: "conflict",
  /** A later holder was seen. */
  Fenced: "fenced",
  /** The receiver will never carry it out. */
  Refused: "refused",
  /** It may be carried out yet. */
  Unanswered: "unanswered",
  /** More than the receiver takes now. */
  Throttled: "throttled",
} as const;

/** One of the values of {@link OrderOutcome}. */
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** Gives orders to engines. */
export interface OrderPort {
  /** Gets the state; undefined where there is no answer. */
  status(
    target: { readonly id: string; readonly address: string },
    timeoutMs: number,
  ): Promise<EngineStatus | undefined>;
  load(
    order: LoadOrder,
    token: DutyToken,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
}

/** Order for a number of targets. */
export interface CapacityOrder {
  readonly service: string;
  readonly dataCentre: string;
  readonly count: number;
  readonly isSpot: boolean;
}

/** Reports to the receiver of usage and orders. */
export interface ReceiverPort {
  reportUsage(
    report: {
      readonly window: number;
      readonly counts: Readonly<Record<string, number>>;
    },
    token: DutyToken,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
  orderTargets(
    order: CapacityOrder,
    token: DutyToken,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
}

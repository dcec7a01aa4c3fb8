/** Ports through which the leader sends orders to targets and the receiver. */

/** State that an engine reports; it may be several hundred milliseconds old. */
export interface EngineStatus {
  /** Whether an order is in progress. */
  readonly isBusy: boolean;
  /** Whether the engine leaves. */
  readonly isLeaving: boolean;
  /** Number of orders accepted so far. */
  readonly orders: number;
  readonly versions: Readonly<Record<string, number>>;
}

/** Handling of a model's running requests while its weights are replaced. */
export const LoadMode = {
  /** They finish before the weights are replaced. */
  Finish: "finish",
  /** They continue on the new weights. */
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
  /** Value of {@link EngineStatus.orders} that this order is valid for. */
  readonly expectedOrders: number;
}

/** Identity and fencing token of the leader that sends an order. */
export interface FencingToken {
  readonly holder: string;
  /** Fencing token; every later holder has a higher one. */
  readonly fence: number;
}

/** Permission to send one order now. */
export interface OrderGrant {
  readonly token: FencingToken;
  /** Time within which the request must end, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Gets whether the order may still be sent. Senders ask at the moment at which
   * they write the request, since the process may have been paused before.
   */
  readonly isValid: () => boolean;
}

/** Outcome of an order. */
export const OrderOutcome = {
  Accepted: "accepted",
  /** The requested state is already in place. */
  Held: "held",
  /** Another order is in progress, or the state has changed. */
  Conflict: "conflict",
  /** The receiver has seen a higher fencing token. */
  Fenced: "fenced",
  /** The receiver rejected the order and will not carry it out. */
  Refused: "refused",
  /** There was no usable answer; the order may still be carried out. */
  Unanswered: "unanswered",
  /** The receiver's rate limit is exceeded. */
  Throttled: "throttled",
  /** The grant expired before the order was sent. */
  NotSent: "notSent",
} as const;

/** One of the values of {@link OrderOutcome}. */
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** Sends orders to engines. */
export interface OrderPort {
  /** Reads an engine's status; undefined if it does not answer in time. */
  status(
    target: { readonly id: string; readonly address: string },
    timeoutMs: number,
  ): Promise<EngineStatus | undefined>;
  load(order: LoadOrder, grant: OrderGrant): Promise<OrderOutcome>;
}

/** Order to run a number of targets in a data centre. */
export interface CapacityOrder {
  readonly service: string;
  readonly dataCentre: string;
  readonly count: number;
  readonly isSpot: boolean;
}

/** Sends usage reports and capacity orders to the receiver. */
export interface ReceiverPort {
  reportUsage(
    report: {
      readonly window: number;
      readonly counts: Readonly<Record<string, number>>;
    },
    grant: OrderGrant,
  ): Promise<OrderOutcome>;
  orderTargets(
    order: CapacityOrder,
    grant: OrderGrant,
  ): Promise<OrderOutcome>;
}

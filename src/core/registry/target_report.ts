/** Reports by which targets register themselves. */

/**
 * States of a target, of which only `ready` accepts work. An incarnation never
 * returns to an earlier state.
 */
export const TargetState = {
  Ready: "ready",
  /** The target leaves, by its own report or by one of its responses. */
  Draining: "draining",
  /**
   * The target has deregistered, or a newer one has its address; `gone` between
   * instances.
   */
  Removed: "gone",
} as const;

/** One of the values of {@link TargetState}. */
export type TargetState = typeof TargetState[keyof typeof TargetState];

/** A report of a target; a newer one replaces all of its fields. */
export interface TargetReport {
  readonly id: string;
  readonly service: string;
  /** Address in the form `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Start time in milliseconds since the Unix epoch; 0 if not reported. */
  readonly incarnation: number;
  /** Sequence number of the report, by which outdated ones are detected. */
  readonly sequence: number;
  readonly state: TargetState;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /**
   * Version of the target's software, which is opaque; undefined if it names
   * none.
   */
  readonly software?: string | undefined;
  /** Loaded weight version by model. */
  readonly versions: Readonly<Record<string, number>>;
  /** Whether the platform may reclaim the target at short notice. */
  readonly isSpot: boolean;
  /**
   * Time for which the target stays cold, in milliseconds from the report on; 0
   * if it is warm, undefined if it does not say.
   */
  readonly coldMs?: number | undefined;
}

/** What a target says of itself in its responses. */
export interface TargetSigns {
  readonly isLeaving: boolean;
  /** Requests a second that it takes from all instances; undefined for any. */
  readonly maxPerSecond: number | undefined;
  /** Time for which it stays cold, in milliseconds; undefined if not named. */
  readonly coldMs?: number | undefined;
}

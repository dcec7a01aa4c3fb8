/** What a target says of itself. */

/** Whether a target takes work. */
export const TargetState = {
  Ready: "ready",
  Draining: "draining",
  /** It has said farewell, or another has its address. */
  Gone: "gone",
} as const;

/** One of the values of {@link TargetState}. */
export type TargetState = typeof TargetState[keyof typeof TargetState];

/** A report of a target; a later one replaces it whole. */
export interface TargetReport {
  readonly id: string;
  readonly service: string;
  /** Address as `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Time of its start in milliseconds since 1970; 0 where it says none. */
  readonly incarnation: number;
  /** Number of the report, by which late ones are told. */
  readonly sequence: number;
  readonly state: TargetState;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Version of the weights by model. */
  readonly versions: Readonly<Record<string, number>>;
  /** Whether the platform may take it away at short notice. */
  readonly isSpot: boolean;
}

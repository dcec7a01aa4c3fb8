/** Requests as the dispatcher handles them. */
import type { QueueEntry } from "../fairness/mod.ts";

/** Kinds of work items, by who waits for the response. */
export const WorkKind = {
  /** Request of a caller; refused early if its deadline cannot be met. */
  Call: "call",
  /** Sample of a step; waits until a target has free capacity. */
  Sample: "sample",
} as const;

/** One of the values of {@link WorkKind}. */
export type WorkKind = typeof WorkKind[keyof typeof WorkKind];

/** A request to be placed on a target. */
export interface WorkItem extends QueueEntry {
  /** Kind of the work item. */
  readonly kind: WorkKind;
  /** Route of the request. */
  readonly route: string;
  /** Pool of targets: the model or service that runs the request. */
  readonly pool: string;
  /** Estimated number of tokens to generate. */
  readonly tokens: number;
  /** Number of prompt tokens that a cached prefix saves. */
  readonly prefixTokens: number;
  /** Hash of the prompt prefix. */
  readonly prefix?: string;
  /** Hash of the route and the canonical body. */
  readonly fingerprint: string;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Maximum number of attempts. */
  readonly maxAttempts: number;
  /** Time after which the response is useless, in milliseconds; or Infinity. */
  readonly deadline: number;
  /** Timeout for the first token, in milliseconds; undefined for none. */
  readonly firstTokenTimeoutMs?: number;
  /** Minimum weight version. */
  readonly minVersion?: number;
  /** Weight version below which the sample would probably become stale. */
  readonly preferredVersion?: number;
  /** Targets that must not run the item, as for a hedge. */
  readonly avoid?: readonly string[];
}

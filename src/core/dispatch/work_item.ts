/** A request on its way to a target. */
import type { QueueEntry } from "../fairness/mod.ts";

/** Who waits for the answer. */
export const WorkKind = {
  /** A caller's request, refused early rather than late. */
  Call: "call",
  /** A sample of a step, which waits until there is room. */
  Sample: "sample",
} as const;

/** One of the values of {@link WorkKind}. */
export type WorkKind = typeof WorkKind[keyof typeof WorkKind];

/** A request as the dispatcher sees it. */
export interface WorkItem extends QueueEntry {
  /** Who waits for the answer. */
  readonly kind: WorkKind;
  /** Route by which it came. */
  readonly route: string;
  /** Model or service that runs it. */
  readonly pool: string;
  /** Tokens to be generated, by estimate. */
  readonly tokens: number;
  /** Prompt tokens that a warm cache saves. */
  readonly prefixTokens: number;
  /** Prefix of the prompt, hashed. */
  readonly prefix?: string;
  /** Route and canonical body, hashed. */
  readonly fingerprint: string;
  /** Whether it may run more than once. */
  readonly idempotent: boolean;
  /** Attempts allowed. */
  readonly maxAttempts: number;
  /** Time after which the answer is of no use, in milliseconds. */
  readonly deadline: number;
  /** Time allowed until the first token; undefined without a bound. */
  readonly firstTokenTimeoutMs?: number;
  /** Oldest weights that may run it. */
  readonly minVersion?: number;
  /** Weights below which its sample would probably get too old. */
  readonly preferredVersion?: number;
  /** Targets that it must not run on, as for a hedge. */
  readonly avoid?: readonly string[];
}

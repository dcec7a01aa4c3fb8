/** The metrics and what they count. */
import { RefusalReason } from "../core/verdict/mod.ts";
import { RetryDecision } from "../core/retry/mod.ts";

/** Kind of a metric. */
export type MetricKind = "counter" | "gauge" | "timing";

/** Description of a metric. */
export interface MetricDescription {
  /** Kind. */
  readonly kind: MetricKind;
  /** What it counts, with its unit. */
  readonly text: string;
}

const BASE = {
  "requests.arrived": {
    kind: "counter",
    text: "Requests that arrived with a live key or on an open route",
  },
  "requests.completed": { kind: "counter", text: "Requests answered whole" },
  "requests.queued": { kind: "gauge", text: "Requests that wait or run" },
  "requests.duration": {
    kind: "timing",
    text: "Time from arrival to the whole answer, in milliseconds",
  },
  "tokens.generated": { kind: "counter", text: "Tokens of whole answers" },
  "tokens.wasted": {
    kind: "counter",
    text: "Tokens generated and thrown away",
  },
  "samples.made": { kind: "counter", text: "Whole answers for samples" },
  "samples.delivered": {
    kind: "counter",
    text: "Samples that were given their numbers",
  },
  "samples.discarded.unversioned": {
    kind: "counter",
    text: "Samples made again because a version was missing",
  },
  "samples.discarded.stale": {
    kind: "counter",
    text: "Samples made again because they were too old",
  },
  "samples.discarded.duplicate": {
    kind: "counter",
    text: "Answers for slots that were filled already",
  },
  "targets.serving": { kind: "gauge", text: "Targets that take work" },
  "targets.died": { kind: "counter", text: "Deaths of targets' processes" },
  "peers.sentBytes": {
    kind: "counter",
    text: "Bytes sent to other instances",
  },
  "peers.receivedBytes": {
    kind: "counter",
    text: "Bytes received from other instances",
  },
  "orders.sent": { kind: "counter", text: "Orders sent to receivers" },
  "invariants.refused": {
    kind: "counter",
    text: "Actions refused because they would break a promise",
  },
  "calls.retried": {
    kind: "counter",
    text: "Calls that were tried at a further target",
  },
  "batches.accepted": { kind: "counter", text: "Batches stored by a quorum" },
  "batches.duration": {
    kind: "timing",
    text: "Time from acceptance of a batch to its end, in milliseconds",
  },
  "items.running": { kind: "gauge", text: "Items that run at targets" },
  "items.waiting": { kind: "gauge", text: "Items that wait for a slot" },
  "items.placed": { kind: "counter", text: "Runs of items at targets" },
  "items.completed": { kind: "counter", text: "Items listed as completed" },
  "items.abandoned": { kind: "counter", text: "Items listed as abandoned" },
  "items.broken": {
    kind: "counter",
    text: "Runs of items that ended without their whole output",
  },
  "items.moved": {
    kind: "counter",
    text: "Runs of items moved off slow or silent targets",
  },
  "items.duration": {
    kind: "timing",
    text: "Time of a whole run of an item, in milliseconds",
  },
  "log.applied": {
    kind: "gauge",
    text: "Position up to which the instance's log has been applied",
  },
  "log.leads": {
    kind: "gauge",
    text: "Term that the instance leads its log in; 0 where it does not",
  },
  "log.proposeDuration": {
    kind: "timing",
    text: "Time from a proposal until it is applied, in milliseconds",
  },
  "policy.revision": {
    kind: "gauge",
    text: "Revision of the policy in force at the instance",
  },
  "policy.leaseLeftMs": {
    kind: "gauge",
    text: "Time for which keys are honoured without a further confirmation",
  },
  "loads.ordered": {
    kind: "counter",
    text: "Orders to targets to load weights",
  },
  "loads.failed": {
    kind: "counter",
    text: "Orders to load weights that had no effect yet",
  },
  "log.linesDropped": { kind: "counter", text: "Log lines that were left out" },
} as const satisfies Readonly<Record<string, MetricDescription>>;

/** Name of a refusal counter. */
export type RefusalMetric = `refusals.${RefusalReason}`;
/** Name of a retry counter. */
export type RetryMetric = `retries.${RefusalReason}.${RetryDecision}`;
/** Name of a metric. */
export type MetricName = keyof typeof BASE | RefusalMetric | RetryMetric;

/** Gets all metrics: the listed ones and a counter for each reason. */
export function metricCatalogue(): ReadonlyMap<string, MetricDescription> {
  const all = new Map<string, MetricDescription>(Object.entries(BASE));
  for (const reason of Object.values(RefusalReason)) {
    all.set(`refusals.${reason}`, {
      kind: "counter",
      text: `Requests refused or failed for ${reason}`,
    });
  }
  for (const reason of Object.values(RefusalReason)) {
    all.set(`retries.${reason}.*`, {
      kind: "counter",
      text: `Retries after ${reason}, by decision: ` +
        `${RetryDecision.RetryNotRun} or ${RetryDecision.RetryIdempotent}`,
    });
  }
  return all;
}

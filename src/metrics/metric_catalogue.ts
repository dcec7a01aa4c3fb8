/** Catalogue of the metrics, with texts for operators. */
import { RefusalReason } from "../core/verdict/mod.ts";
import { PROCESS_METRICS } from "./process_metrics.ts";
import { RetryDecision } from "../core/retry/mod.ts";

/** Kind of a metric. */
export type MetricKind = "counter" | "gauge" | "timing";

/** Description of a metric. */
export interface MetricDescription {
  readonly kind: MetricKind;
  /** What the metric measures, with its unit. */
  readonly text: string;
}

const FIXED_METRICS = {
  "requests.arrived": {
    kind: "counter",
    text: "Requests received with a valid key or on an anonymous route",
  },
  "requests.completed": {
    kind: "counter",
    text: "Requests that got a complete response",
  },
  "requests.queued": {
    kind: "gauge",
    text: "Requests that are waiting or running",
  },
  "requests.duration": {
    kind: "timing",
    text: "Time from arrival to the complete response, in milliseconds",
  },
  "tokens.generated": {
    kind: "counter",
    text: "Tokens generated in complete responses",
  },
  "tokens.wasted": {
    kind: "counter",
    text: "Tokens that were generated and discarded",
  },
  "samples.made": { kind: "counter", text: "Samples generated completely" },
  "samples.delivered": {
    kind: "counter",
    text: "Samples stored in the ledger under a sequence number",
  },
  "samples.discarded.unversioned": {
    kind: "counter",
    text: "Samples discarded because their weight version is missing",
  },
  "samples.discarded.stale": {
    kind: "counter",
    text: "Samples discarded because their weights are too old",
  },
  "samples.discarded.duplicate": {
    kind: "counter",
    text: "Samples discarded because their slot was already filled",
  },
  "targets.serving": { kind: "gauge", text: "Targets that accept requests" },
  "targets.refusedReports": {
    kind: "counter",
    text: "Reports of targets that were refused as malformed",
  },
  "targets.evacuatedDataCentres": {
    kind: "gauge",
    text: "Data centres to whose targets this instance sends nothing",
  },
  "targets.cold": {
    kind: "gauge",
    text: "Targets that take only a few requests a second after their start",
  },
  "requests.delayedCold": {
    kind: "counter",
    text:
      "Requests of calls for which a cold target had no permit at once, by instance that sends them",
  },
  "targets.died": { kind: "counter", text: "Deaths of target processes" },
  "peers.sentBytes": {
    kind: "counter",
    text: "Bytes sent to other instances",
  },
  "peers.received.*": {
    kind: "counter",
    text: "Messages received from other instances, by what they hold",
  },
  "peers.receivedBytes": {
    kind: "counter",
    text: "Bytes received from other instances",
  },
  "peers.refusedInputs": {
    kind: "counter",
    text:
      "Messages of other instances, and entries of them, left out as malformed",
  },
  "orders.sent": { kind: "counter", text: "Orders sent to the receiver" },
  "invariants.refused": {
    kind: "counter",
    text: "Actions refused because they would violate an invariant",
  },
  "connections.direct": {
    kind: "counter",
    text: "Connections to targets that this instance opened itself",
  },
  "connections.relayed": {
    kind: "counter",
    text: "Connections to targets that were opened through other instances",
  },
  "connections.lostPaths": {
    kind: "gauge",
    text: "Targets that this instance reaches through others only",
  },
  "responses.tooLarge": {
    kind: "counter",
    text:
      "Responses of targets ended at a bound: 1 MiB without the end of an event (16 MiB in all runs together), 1,000 lines without a meaning, 32 MiB of bodies that are read completely, or 128 KiB and 20 times its body of framing",
  },
  "responses.brokenOff": {
    kind: "counter",
    text:
      "Responses broken off as their callers read nothing for a second while others needed the memory",
  },
  "bodies.heldBytes": {
    kind: "gauge",
    text:
      "Bytes of the bodies of requests that are read or not yet answered; at most 64 MiB, less on a small machine (docs/design/memory.md)",
  },
  "bodies.refused": {
    kind: "counter",
    text: "Requests refused as other bodies took the memory for theirs",
  },
  "requests.open": {
    kind: "gauge",
    text: "Requests that a server has not answered; at most 2,048",
  },
  "connections.displaced": {
    kind: "counter",
    text:
      "Connections of callers, operators or targets closed for new ones, or closed at once, as there are as many as the machine's descriptors allow",
  },
  "connections.overrun": {
    kind: "counter",
    text:
      "Connections closed as the other side sent on, but did not read what it was sent",
  },
  "peers.heldBytes": {
    kind: "gauge",
    text:
      "Bytes of messages of other instances that have arrived in part; at most 64 MiB",
  },
  "peers.unsentBytes": {
    kind: "gauge",
    text:
      "Bytes of messages that wait to be sent to other instances; about 64 MiB at most",
  },
  "relays.opened": {
    kind: "counter",
    text: "Connections to targets opened for other instances",
  },
  "relays.open": {
    kind: "gauge",
    text: "Connections that are forwarded for other instances",
  },
  "calls.retried": {
    kind: "counter",
    text: "Calls retried at another target",
  },
  "calls.spread": {
    kind: "counter",
    text:
      "Calls whose random change of costs gave them another target than the cheapest",
  },
  "batches.accepted": {
    kind: "counter",
    text: "Batches committed by a quorum",
  },
  "batches.refused.urgentWork": {
    kind: "counter",
    text: "Batches refused as more urgent work takes the time of the targets",
  },
  "batches.refused.aboveShare": {
    kind: "counter",
    text: "Batches refused as work accepted before exceeds their share",
  },
  "batches.refused.memory": {
    kind: "counter",
    text: "Batches refused as the ledger had no memory for their results",
  },
  "batches.bytes": {
    kind: "gauge",
    text:
      "Estimated size of the batches that a ledger instance holds in memory, in bytes",
  },
  "batches.movedBytes": {
    kind: "gauge",
    text:
      "Size of the texts of results that a ledger instance holds in files, in bytes",
  },
  "batches.roomBytes": {
    kind: "gauge",
    text:
      "Size that these batches may have before others are refused, in bytes",
  },
  "batches.openTokens.*": {
    kind: "gauge",
    text: "Expected output of the open items of a service, in tokens",
  },
  "batches.drainMs.*": {
    kind: "gauge",
    text:
      "Time in which the open items of a service drain, in milliseconds; 0 if not known",
  },
  "batches.duration": {
    kind: "timing",
    text: "Time from acceptance of a batch to its end, in milliseconds",
  },
  "streams.resumed": {
    kind: "counter",
    text: "Attempts that go on with a stream of which the caller holds events",
  },
  "streams.unrecorded": {
    kind: "counter",
    text: "Streams whose writer no control instance recorded in time",
  },
  "items.running": { kind: "gauge", text: "Items that run on targets" },
  "items.waiting": {
    kind: "gauge",
    text: "Items that wait for a slot of a target",
  },
  "items.placed": { kind: "counter", text: "Runs of items started on targets" },
  "items.resumed": {
    kind: "counter",
    text: "Runs of items that go on with the output of earlier runs",
  },
  "items.begunAnew": {
    kind: "counter",
    text: "Runs of items that restart although events were received",
  },
  "items.dataCentreUnanswered": {
    kind: "counter",
    text: "Times at which items began to avoid a data centre without answers",
  },
  "ends.unconfirmed": {
    kind: "counter",
    text: "Rounds of attempts to end a batch that failed",
  },
  "reads.leader": {
    kind: "counter",
    text: "Reads of batch results that the ledger's leader answered",
  },
  "reads.replica": {
    kind: "counter",
    text: "Reads of batch results answered by a replica in the data centre",
  },
  "reads.replicaFailed": {
    kind: "counter",
    text: "Reads of batch results that a replica did not answer",
  },
  "items.completed": {
    kind: "counter",
    text: "Items completed, with a stored result",
  },
  "items.abandoned": {
    kind: "counter",
    text: "Items abandoned without a complete output",
  },
  "items.broken": {
    kind: "counter",
    text: "Runs of items that ended without their complete output",
  },
  "items.overlong": {
    kind: "counter",
    text: "Runs of items ended as their output was longer than the item allows",
  },
  "items.cancelled": {
    kind: "counter",
    text: "Runs of items without a response when the lease was lost, cancelled",
  },
  "items.withheld": {
    kind: "counter",
    text: "Runs of items not sent, as their permission had ended",
  },
  "items.moved": {
    kind: "counter",
    text: "Runs of items moved away from degraded, slow or silent targets",
  },
  "items.moved.misplaced": {
    kind: "counter",
    text:
      "Runs of items moved away from slow targets whose pace was unknown when the runs started",
  },
  "items.moved.sick": {
    kind: "counter",
    text:
      "Runs of items moved away from targets far slower than in the long run",
  },
  "items.moved.silent": {
    kind: "counter",
    text: "Runs of items moved away from targets that sent no events",
  },
  "items.scored": { kind: "counter", text: "Items that got their score" },
  "items.ticksLate": {
    kind: "counter",
    text:
      "Ticks of the ledger's leader during or just after a delay of its process, in which no pace is measured",
  },
  "items.unscored": {
    kind: "counter",
    text: "Scoring calls that ended without a score",
  },
  "items.duration": {
    kind: "timing",
    text: "Duration of a complete run of an item, in milliseconds",
  },
  "log.applied": {
    kind: "gauge",
    text: "Index of the last log entry that this replica has applied",
  },
  "log.bytes": {
    kind: "gauge",
    text: "Size of the log entries that this replica holds in memory, in bytes",
  },
  "log.leads": {
    kind: "gauge",
    text: "Term in which this replica leads its log; 0 if it is not leader",
  },
  "log.proposeDuration": {
    kind: "timing",
    text: "Time from a proposal until it is applied, in milliseconds",
  },
  "policy.revision": {
    kind: "gauge",
    text: "Revision of the policy in force on this instance",
  },
  "policy.leaseLeftMs": {
    kind: "gauge",
    text:
      "Time until keys are refused unless the policy is confirmed again, in ms",
  },
  "loads.ordered": {
    kind: "counter",
    text: "Orders to load weights sent to targets",
  },
  "loads.failed": {
    kind: "counter",
    text: "Orders to load weights that failed or had no effect",
  },
  ...PROCESS_METRICS,
  "log.linesDropped": { kind: "counter", text: "Log lines that were dropped" },
} as const satisfies Readonly<Record<string, MetricDescription>>;

/** Name of a refusal counter. */
export type RefusalMetric = `refusals.${RefusalReason}`;
/** Name of a retry counter. */
export type RetryMetric = `retries.${RefusalReason}.${RetryDecision}`;
/** Name of a gauge of the open items of a service. */
export type ServiceMetric =
  | `batches.openTokens.${string}`
  | `batches.drainMs.${string}`;
/** Name of a counter of the messages that hold something. */
export type ReceivedMetric = `peers.received.${string}`;
/** Name of a metric. */
export type MetricName =
  | keyof typeof FIXED_METRICS
  | RefusalMetric
  | ServiceMetric
  | ReceivedMetric
  | RetryMetric;

/** Gets all metrics: the fixed ones and the counters of each refusal reason. */
export function createMetricCatalogue(): ReadonlyMap<
  string,
  MetricDescription
> {
  const all = new Map<string, MetricDescription>(Object.entries(FIXED_METRICS));
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

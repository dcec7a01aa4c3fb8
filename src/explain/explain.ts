/** Finds the outcome of a request in the logs of all instances. */
import type { EventName } from "../logging/mod.ts";
import { eventOf, type LogLine, parseLine } from "./log_line.ts";

/** A log line that concerns a request, an item or a batch. */
export interface ExplainedLine {
  /** Time of the line, in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly event: EventName;
  readonly instance: string;
  /** Line in human-readable form. */
  readonly text: string;
  /** Whether the line names the requested id, not only its batch. */
  readonly isOwn: boolean;
}

/** Outcome of a request, an item or a batch, with the lines that led to it. */
export interface Explanation {
  /** Lines that concern the id, ordered by time. */
  readonly lines: readonly ExplainedLine[];
  /** Last final line of the id, or its last line if none is final. */
  readonly deciding: ExplainedLine | undefined;
  /** Changes of the state of the deciding instance shortly before. */
  readonly context: readonly ExplainedLine[];
  /** Next start of that instance if it ended before a final line. */
  readonly restart: ExplainedLine | undefined;
}

/** Events that end a request, an item or a batch. */
const FINAL_EVENTS: ReadonlySet<EventName> = new Set([
  "callAnswered",
  "callRefused",
  "itemListed",
  "batchEnded",
  "batchAccepted",
]);

/** Events that a process writes when it starts. */
const START_EVENTS: ReadonlySet<EventName> = new Set([
  "instanceStarted",
  "fleetJoined",
]);

/** Events that change the state on which an instance bases its decisions. */
const CONTEXT_EVENTS: ReadonlySet<EventName> = new Set([
  "instanceStarted",
  "fleetJoined",
  "instanceDraining",
  "policyInForce",
  "policyLeaseLost",
  "policyLeaseHeld",
  "peerDown",
  "peerUp",
  "becameControlLeader",
  "lostControlLead",
  "recordsUnstored",
  "loadOrdered",
  "targetChanged",
  "targetsChanged",
  "dataCentreEvacuated",
  "dataCentreReadmitted",
]);

/** Time before the deciding line that the context covers. */
const CONTEXT_MS = 5_000;
const MAX_CONTEXT_LINES = 12;
const HIDDEN_FIELDS: ReadonlySet<string> = new Set([
  "name",
  "hostname",
  "pid",
  "level",
  "v",
  "time",
  "msg",
  "event",
  "instance",
]);
/**
 * Explains the outcome of a request, an item or a batch.
 *
 * Lines that are not log lines of an instance are ignored.
 * @param id - Identifier of the request, the item or the batch.
 * @param rawLines - Lines of the logs, in any order.
 *
 * @example
 * ```ts
 * explain("47d04407", lines).deciding?.text;
 * ```
 */
export function explain(id: string, rawLines: readonly string[]): Explanation {
  const logLines = rawLines.map(parseLine).filter((line) => line !== undefined);
  const ids = findRelatedIds(id, logLines);
  const lines = logLines
    .filter((line) => refersToAny(line, ids))
    .map((line) => toExplainedLine(line, id))
    .filter((line) => line !== undefined)
    .sort((a, b) => a.at - b.at);
  const own = lines.filter((line) => line.isOwn);
  const deciding = own.findLast((line) => FINAL_EVENTS.has(line.event)) ??
    own[own.length - 1];
  return {
    lines,
    deciding,
    context: findContext(deciding, logLines),
    restart: findRestart(deciding, logLines),
  };
}

function findRestart(
  last: ExplainedLine | undefined,
  lines: readonly LogLine[],
): ExplainedLine | undefined {
  if (last === undefined || FINAL_EVENTS.has(last.event)) return undefined;
  return lines
    .filter((line) => line.instance === last.instance)
    .map((line) => toExplainedLine(line, ""))
    .find((line) =>
      line !== undefined && START_EVENTS.has(line.event) && line.at > last.at
    );
}

/** Gets the id and, if it is an item, the batches that hold it. */
function findRelatedIds(
  id: string,
  lines: readonly LogLine[],
): ReadonlySet<string> {
  const ids = new Set([id]);
  for (const line of lines) {
    const { item, batch } = line;
    if (item === id && typeof batch === "string") ids.add(batch);
  }
  return ids;
}

function refersToAny(line: LogLine, ids: ReadonlySet<string>): boolean {
  const { request, item, batch } = line;
  if (typeof item === "string") return ids.has(item);
  return [request, batch].some((value) =>
    typeof value === "string" && ids.has(value)
  );
}

function findContext(
  deciding: ExplainedLine | undefined,
  lines: readonly LogLine[],
): ExplainedLine[] {
  if (deciding === undefined) return [];
  return lines
    .filter((line) => line.instance === deciding.instance)
    .map((line) => toExplainedLine(line, ""))
    .filter((line) => line !== undefined)
    .filter((line) => CONTEXT_EVENTS.has(line.event))
    .filter((line) =>
      line.at <= deciding.at && deciding.at - line.at < CONTEXT_MS
    )
    .sort((a, b) => a.at - b.at)
    .slice(-MAX_CONTEXT_LINES);
}

function toExplainedLine(line: LogLine, id: string): ExplainedLine | undefined {
  const event = eventOf(line);
  const at = Date.parse(String(line.time));
  if (event === undefined || Number.isNaN(at)) return undefined;
  const instance = String(line.instance);
  const fields = Object.entries(line)
    .filter(([key]) => !HIDDEN_FIELDS.has(key))
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  const text = [line.time, instance, event, ...fields].join(" ");
  const { request, item, batch } = line;
  const isOwn = [request, item, batch].includes(id);
  return { at, event, instance, text, isOwn };
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}

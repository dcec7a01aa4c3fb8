/** Finds what became of a request in the lines of all instances. */
import { EVENT_CATALOGUE, type EventName } from "../logging/mod.ts";

/** A line of a log that concerns the request. */
export interface ExplainedStep {
  /** Time of the line, in milliseconds since 1970. */
  readonly at: number;
  readonly event: EventName;
  readonly instance: string;
  /** The line as people read it. */
  readonly text: string;
  /** Whether it names the id itself, and not only its batch. */
  readonly isOwn: boolean;
}

/** What became of a request. */
export interface Explanation {
  /** Its lines in order of time. */
  readonly steps: readonly ExplainedStep[];
  /** The line that decided the outcome. */
  readonly deciding: ExplainedStep | undefined;
  /** Lines about what the deciding instance believed shortly before. */
  readonly context: readonly ExplainedStep[];
  /** Next start of that instance, where it ended before it could decide. */
  readonly restart: ExplainedStep | undefined;
}

type Line = Readonly<Record<string, unknown>>;

/** Events that end a request, an item or a batch. */
const FINAL_EVENTS: ReadonlySet<EventName> = new Set([
  "callAnswered",
  "callRefused",
  "itemListed",
  "batchEnded",
  "batchAccepted",
]);

/** Events of a process that begins. */
const START_EVENTS: ReadonlySet<EventName> = new Set([
  "instanceStarted",
  "fleetJoined",
]);

/** Events that change what an instance believes. */
const BELIEF_EVENTS: ReadonlySet<EventName> = new Set([
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
]);

/** Time before the deciding line from which beliefs are shown. */
const CONTEXT_MS = 5_000;
const MAX_CONTEXT = 12;
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
const NAMES = new Map<number, EventName>(
  Object.entries(EVENT_CATALOGUE)
    .map(([name, { number }]) => [number, name as EventName]),
);

/**
 * Explains what became of an id; lines that are not JSON are passed over.
 *
 * @example
 * ```ts
 * explain("47d04407", lines).deciding?.text;
 * ```
 */
export function explain(id: string, lines: readonly string[]): Explanation {
  const parsed = lines.map(parseLine).filter((line) => line !== undefined);
  const ids = relatedIds(id, parsed);
  const steps = parsed
    .filter((line) => names(line, ids))
    .map((line) => toStep(line, id))
    .filter((step) => step !== undefined)
    .sort((a, b) => a.at - b.at);
  const own = steps.filter((step) => step.isOwn);
  const deciding = own.findLast((step) => FINAL_EVENTS.has(step.event)) ??
    own[own.length - 1];
  return {
    steps,
    deciding,
    context: contextOf(deciding, parsed),
    restart: restartAfter(deciding, parsed),
  };
}

function restartAfter(
  last: ExplainedStep | undefined,
  lines: readonly Line[],
): ExplainedStep | undefined {
  if (last === undefined || FINAL_EVENTS.has(last.event)) return undefined;
  return lines
    .filter((line) => line.instance === last.instance)
    .map((line) => toStep(line, ""))
    .find((step) =>
      step !== undefined && START_EVENTS.has(step.event) && step.at > last.at
    );
}

/** An item is explained by its own lines, and those of its batches. */
function relatedIds(id: string, lines: readonly Line[]): ReadonlySet<string> {
  const ids = new Set([id]);
  for (const line of lines) {
    const { item, batch } = line;
    if (item === id && typeof batch === "string") ids.add(batch);
  }
  return ids;
}

function names(line: Line, ids: ReadonlySet<string>): boolean {
  const { request, item, batch } = line;
  if (typeof item === "string") return ids.has(item);
  return [request, batch].some((value) =>
    typeof value === "string" && ids.has(value)
  );
}

function contextOf(
  deciding: ExplainedStep | undefined,
  lines: readonly Line[],
): ExplainedStep[] {
  if (deciding === undefined) return [];
  return lines
    .filter((line) => line.instance === deciding.instance)
    .map((line) => toStep(line, ""))
    .filter((step) => step !== undefined)
    .filter((step) => BELIEF_EVENTS.has(step.event))
    .filter((step) =>
      step.at <= deciding.at && deciding.at - step.at < CONTEXT_MS
    )
    .sort((a, b) => a.at - b.at)
    .slice(-MAX_CONTEXT);
}

/** What stands before the object, as a collector's prefix, is left out. */
function parseLine(text: string): Line | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    return JSON.parse(text.slice(start)) as Line;
  } catch {
    // A line of another program.
    return undefined;
  }
}

function toStep(line: Line, id: string): ExplainedStep | undefined {
  const event = NAMES.get(line.event as number);
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

/** Summary of the outputs that another target continued. */
import type { EventName } from "../logging/mod.ts";
import { eventOf, type LogLine, parseLine } from "./log_line.ts";

/** Counts of outputs in the logs of a period. */
export interface OutputSummary {
  /** Runs of items that continued the output of earlier runs. */
  resumedItems: number;
  /** Attempts of calls that continued a stream. */
  resumedStreams: number;
  /** Of both, those at another software version than wrote the output. */
  otherVersion: number;
  /** Runs of items that restarted although events were received. */
  begunAnew: number;
  /** Events that these items had received and discarded. */
  droppedEvents: number;
  /** Streams that could not be resumed, as no target has their version. */
  strandedStreams: number;
  /** Streams that could not be resumed, as no instance has their record. */
  unknownStreams: number;
}

type Counter = (summary: OutputSummary, line: LogLine) => void;

const REFUSAL_COUNTERS: Readonly<Record<string, Counter>> = {
  streamStranded: (summary) => void (summary.strandedStreams += 1),
  streamUnknown: (summary) => void (summary.unknownStreams += 1),
};

const COUNTERS: Partial<Readonly<Record<EventName, Counter>>> = {
  itemPlaced: (summary, line) => {
    if (!(Number(line.resumeAfter) > 0)) return;
    summary.resumedItems += 1;
    countVersion(summary, line);
  },
  callPlaced: (summary, line) => {
    if (line.resumedSoftware === undefined) return;
    summary.resumedStreams += 1;
    countVersion(summary, line);
  },
  itemBegunAnew: (summary, { droppedEvents }) => {
    summary.begunAnew += 1;
    summary.droppedEvents += Number(droppedEvents);
  },
  callRefused: (summary, line) =>
    REFUSAL_COUNTERS[String(line.reason)]?.(summary, line),
};

/**
 * Counts the outputs that were continued, restarted or refused.
 * @param rawLines - Lines of the logs of all instances, in any order.
 *
 * @example
 * ```ts
 * summarizeOutputs(lines).otherVersion; // 0
 * ```
 */
export function summarizeOutputs(rawLines: Iterable<string>): OutputSummary {
  const summary: OutputSummary = {
    resumedItems: 0,
    resumedStreams: 0,
    otherVersion: 0,
    begunAnew: 0,
    droppedEvents: 0,
    strandedStreams: 0,
    unknownStreams: 0,
  };
  for (const text of rawLines) {
    const line = parseLine(text);
    const event = line && eventOf(line);
    if (event !== undefined) COUNTERS[event]?.(summary, line!);
  }
  return summary;
}

function countVersion(
  summary: OutputSummary,
  { software, resumedSoftware }: LogLine,
): void {
  const isKnown = software !== undefined && software === resumedSoftware;
  if (!isKnown) summary.otherVersion += 1;
}

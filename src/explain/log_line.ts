/** Lines of the logs of instances. */
import { EVENT_CATALOGUE, type EventName } from "../logging/mod.ts";

/** Fields of a log line. */
export type LogLine = Readonly<Record<string, unknown>>;

const EVENT_NAME_BY_NUMBER = new Map<number, EventName>(
  Object.entries(EVENT_CATALOGUE)
    .map(([name, { number }]) => [number, name as EventName]),
);

/** Gets the event of a line; undefined if it is unknown. */
export function eventOf({ event }: LogLine): EventName | undefined {
  return EVENT_NAME_BY_NUMBER.get(event as number);
}

/** Parses a log line; skips text that log collectors add before the object. */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    return JSON.parse(text.slice(start)) as LogLine;
  } catch {
    // The line was written by another program.
    return undefined;
  }
}

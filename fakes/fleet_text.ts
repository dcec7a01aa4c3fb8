/** Output of fake engines, determined by the identifier of the item. */
import { createHash } from "node:crypto";

/** Minimum number of events of an output. */
const MIN_EVENT_COUNT = 4;
const EVENT_COUNT_SPREAD = 24;

/** Gets the number of events of an item's output, from 4 to 27. */
export function eventCountOf(id: string): number {
  const digest = createHash("sha256").update(id).digest();
  return MIN_EVENT_COUNT + (digest[0] % EVENT_COUNT_SPREAD);
}

/** Gets the data of an event; events are numbered from 1. */
export function eventDataOf(id: string, event: number): string {
  return `${id}.${event}`;
}

/** Gets the complete output of an item. */
export function outputOf(id: string): string {
  const events: string[] = [];
  for (let event = 1; event <= eventCountOf(id); event += 1) {
    events.push(eventDataOf(id, event));
  }
  return events.join("\n");
}

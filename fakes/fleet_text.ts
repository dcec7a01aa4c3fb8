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

/** Software version of engines that do not set another one. */
export const FIRST_SOFTWARE = "v1";

/**
 * Gets the data of an event; events are numbered from 1.
 * @param software - Software version of the engine that writes it.
 */
export function eventDataOf(
  id: string,
  event: number,
  software: string = FIRST_SOFTWARE,
): string {
  return `${id}.${event}@${software}`;
}

/** Gets the complete output of an item, written at one software version. */
export function outputOf(
  id: string,
  software: string = FIRST_SOFTWARE,
): string {
  const events: string[] = [];
  for (let event = 1; event <= eventCountOf(id); event += 1) {
    events.push(eventDataOf(id, event, software));
  }
  return events.join("\n");
}

/** Gets the software versions that wrote an output, in order of their events. */
export function softwareOf(output: string): string[] {
  const versions = output.split("\n")
    .map((event) => event.slice(event.lastIndexOf("@") + 1));
  return [...new Set(versions)];
}

/** What the stand-in engines generate: fixed by the identifier of the item. */
import { createHash } from "node:crypto";

/** Fewest and most events of an output. */
const MIN_EVENTS = 4;
const EVENT_SPREAD = 24;

/** Gets the number of events of an item's output. */
export function eventsOf(id: string): number {
  const digest = createHash("sha256").update(id).digest();
  return MIN_EVENTS + (digest[0] % EVENT_SPREAD);
}

/** Gets the data of one event, counted from 1. */
export function pieceOf(id: string, event: number): string {
  return `${id}.${event}`;
}

/** Gets the whole text of an item. */
export function textOf(id: string): string {
  const pieces: string[] = [];
  for (let event = 1; event <= eventsOf(id); event += 1) {
    pieces.push(pieceOf(id, event));
  }
  return pieces.join("\n");
}

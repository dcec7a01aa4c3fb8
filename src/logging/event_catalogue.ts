/** Catalogue of the numbered log events, with texts for operators. */
import type { EventDescription } from "./event_description.ts";
import { FLEET_EVENTS } from "./fleet_events.ts";
import { INSTANCE_EVENTS } from "./instance_events.ts";

/** All log events, by name. */
export const EVENT_CATALOGUE = {
  ...INSTANCE_EVENTS,
  ...FLEET_EVENTS,
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of an event. */
export type EventName = keyof typeof EVENT_CATALOGUE;

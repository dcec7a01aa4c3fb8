/** Definition of a numbered log event. */

/** Severity of an event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Definition of a log event. */
export interface EventDescription {
  /** Unique number; numbers of removed events are not reused. */
  readonly number: number;
  readonly level: EventLevel;
  /** Message of the log line. */
  readonly text: string;
  /** Recommended action of an operator; `None` if there is none. */
  readonly action: string;
}

/** Defines an event; without an action, operators need none. */
export function defineEvent(
  number: number,
  level: EventLevel,
  options: { text: string; action?: string },
): EventDescription {
  return {
    number,
    level,
    text: options.text,
    action: options.action ?? "None",
  };
}

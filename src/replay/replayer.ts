/** Replays a trace through the core and compares the outcomes. */
import { NutmegreelError } from "../core/errors/mod.ts";
import { DispatchReplay } from "./dispatch_replay.ts";
import { StateReplay } from "./state_replay.ts";
import {
  matchesExpected,
  type TraceLine,
  traceLineSchema,
  type TraceOutcome,
} from "./trace_line.ts";

/**
 * Runs the lines of one trace in order.
 *
 * @example
 * ```ts
 * const outcomes = new Replayer().run(readFileSync(file, "utf8"));
 * ```
 */
export class Replayer {
  readonly #handlers = {
    ...new DispatchReplay().handlers,
    ...new StateReplay().handlers,
  };

  /**
   * Replays a trace.
   * @param text - Trace as JSON lines; empty lines are ignored.
   * @returns The expected outcomes of the trace with the actual ones.
   * @throws NutmegreelError if a line is malformed or its action is unknown.
   */
  run(text: string): TraceOutcome[] {
    const outcomes: TraceOutcome[] = [];
    let now = 0;
    text.split("\n").forEach((lineText, i) => {
      if (lineText.trim() === "") return;
      const line = parseLine(lineText, i + 1);
      now = line.at ?? now;
      const actual = this.#handle(line, { now, number: i + 1 });
      if (line.expect === undefined) return;
      outcomes.push({
        line: i + 1,
        action: line.do,
        shows: line.shows,
        isMet: matchesExpected(actual, line.expect),
        expected: line.expect,
        actual,
      });
    });
    return outcomes;
  }

  #handle(line: TraceLine, position: { now: number; number: number }): unknown {
    const handler = this.#handlers[line.do];
    if (handler === undefined) {
      throw new NutmegreelError(
        "trace",
        `Line ${position.number}: unknown action ${line.do}`,
      );
    }
    const result = handler(line.with, position.now);
    return JSON.parse(JSON.stringify(result ?? null));
  }
}

function parseLine(text: string, number: number): TraceLine {
  try {
    return traceLineSchema.parse(JSON.parse(text));
  } catch (err) {
    const detail = (err as Error).message;
    throw new NutmegreelError("trace", `Line ${number}: ${detail}`);
  }
}

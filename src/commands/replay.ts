/** Command that replays recorded traces. */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { defineCommand } from "citty";
import { NutmegreelError } from "../core/errors/mod.ts";
import { Replayer, type TraceOutcome } from "../replay/mod.ts";

/** Replays a trace, or all traces of a folder, and prints the outcomes. */
export const replay = defineCommand({
  meta: {
    name: "replay",
    description: "Replay traces and print each expected outcome as met or " +
      "not. Example: nutmegreel replay traces/",
  },
  args: {
    path: {
      type: "positional",
      required: true,
      description: "Trace file, or folder of trace files",
      valueHint: "PATH",
    },
  },
  run({ args }) {
    let notMet = 0;
    let total = 0;
    for (const file of listTraces(args.path)) {
      const outcomes = new Replayer().run(readFileSync(file, "utf8"));
      for (const outcome of outcomes) {
        console.log(formatOutcome(file, outcome));
        if (!outcome.isMet) notMet += 1;
      }
      total += outcomes.length;
    }
    console.log(`${total - notMet} met, ${notMet} not met`);
    if (notMet === 0 && total > 0) return;
    throw new NutmegreelError("replay", "Not all expected outcomes were met");
  },
});

function listTraces(path: string): string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path)
    .filter((name) => name.endsWith(".jsonl"))
    .sort()
    .map((name) => join(path, name));
}

function formatOutcome(file: string, outcome: TraceOutcome): string {
  const { line, action, shows, isMet, expected, actual } = outcome;
  const location = `${file}:${line} ${action}`;
  const invariant = shows === undefined ? "" : ` (${shows})`;
  if (isMet) return `met      ${location}${invariant}`;
  const difference = `expected ${JSON.stringify(expected)}, ` +
    `got ${JSON.stringify(actual)}`;
  return `not met  ${location}${invariant}: ${difference}`;
}

/** The command that replays recorded traces. */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { defineCommand } from "citty";
import { NutmegreelError } from "../core/errors/mod.ts";
import { Replayer, type TraceOutcome } from "../replay/mod.ts";

/** Replays a trace, or all traces of a folder. */
export const replay = defineCommand({
  meta: {
    name: "replay",
    description: "Replay traces and print each stated outcome as met or " +
      "not. Example: nutmegreel replay traces/",
  },
  args: {
    path: {
      type: "positional",
      required: true,
      description: "Trace, or folder of traces",
      valueHint: "PATH",
    },
  },
  run({ args }) {
    let missed = 0;
    let stated = 0;
    for (const file of tracesIn(args.path)) {
      const outcomes = new Replayer().run(readFileSync(file, "utf8"));
      for (const outcome of outcomes) {
        console.log(lineOf(file, outcome));
        if (!outcome.isMet) missed += 1;
      }
      stated += outcomes.length;
    }
    console.log(`${stated - missed} met, ${missed} not met`);
    if (missed === 0 && stated > 0) return;
    throw new NutmegreelError("replay", "Not every stated outcome is met");
  },
});

function tracesIn(path: string): string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path)
    .filter((name) => name.endsWith(".jsonl"))
    .sort()
    .map((name) => join(path, name));
}

function lineOf(file: string, outcome: TraceOutcome): string {
  const { line, action, shows, isMet, expected, actual } = outcome;
  const place = `${file}:${line} ${action}`;
  const promise = shows === undefined ? "" : ` (${shows})`;
  if (isMet) return `met      ${place}${promise}`;
  const seen = `expected ${JSON.stringify(expected)}, ` +
    `got ${JSON.stringify(actual)}`;
  return `not met  ${place}${promise}: ${seen}`;
}

/** Command that collects the log lines of one request. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { defineCommand } from "citty";
import { NutmegreelError } from "../core/errors/mod.ts";
import { explain as explainLines, type Explanation } from "../explain/mod.ts";

/** Explains the outcome of a request, an item or a batch. */
export const explain = defineCommand({
  meta: {
    name: "explain",
    description: "Collect the log lines of an id from all instances, in " +
      "order of time, and print the deciding one. " +
      "Example: nutmegreel explain 47d04407 entry-1.log ledger-1.log",
  },
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Identifier of a request, an item or a batch",
      valueHint: "ID",
    },
  },
  async run({ args }) {
    const files = args._.slice(1);
    const lines: string[] = [];
    const sources = files.length === 0
      ? [process.stdin]
      : files.map((file) => createReadStream(file));
    for (const input of sources) {
      for await (const line of createInterface({ input })) lines.push(line);
    }
    const explanation = explainLines(args.id, lines);
    if (explanation.lines.length === 0) {
      throw new NutmegreelError(
        "unknownId",
        `No log line contains the id ${args.id}`,
      );
    }
    print(explanation);
  },
});

function print({ lines, deciding, context, restart }: Explanation): void {
  for (const line of lines) console.log(line.text);
  if (context.length > 0) {
    console.log("State changes before the deciding line:");
  }
  for (const line of context) console.log(`  ${line.text}`);
  if (deciding === undefined) return;
  if (restart === undefined) console.log(`Decided by: ${deciding.text}`);
  else console.log(`Process ended first; next start: ${restart.text}`);
}

/** Command that explains one request, or all that was not served in time. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { defineCommand } from "citty";
import { NutmegreelError } from "../core/errors/mod.ts";
import {
  explain as explainLines,
  type Explanation,
  type Loss,
  summarizeLosses,
} from "../explain/mod.ts";

const COUNT_WIDTH = 8;

/** Explains the outcome of a request, an item or a batch, or all losses. */
export const explain = defineCommand({
  meta: {
    name: "explain",
    description: "Collect the log lines of an id from all instances, in " +
      "order of time, and print the deciding one; with --losses, count what " +
      "was not served in time by what lost it. " +
      "Example: nutmegreel explain 47d04407 entry-1.log ledger-1.log",
  },
  args: {
    id: {
      type: "positional",
      required: false,
      description: "Identifier of a request, an item or a batch",
      valueHint: "ID",
    },
    losses: {
      type: "boolean",
      description: "Count all losses; each argument is a file then",
    },
  },
  async run({ args }) {
    if (args.losses === true) {
      printLosses(summarizeLosses(await readLines(args._)));
      return;
    }
    const { id } = args;
    if (id === undefined) {
      throw new NutmegreelError("noId", "Name an id, or give --losses");
    }
    const explanation = explainLines(id, await readLines(args._.slice(1)));
    if (explanation.lines.length === 0) {
      throw new NutmegreelError(
        "unknownId",
        `No log line contains the id ${id}`,
      );
    }
    print(explanation);
  },
});

async function readLines(files: readonly string[]): Promise<string[]> {
  const lines: string[] = [];
  const sources = files.length === 0
    ? [process.stdin]
    : files.map((file) => createReadStream(file));
  for (const input of sources) {
    for await (const line of createInterface({ input })) lines.push(line);
  }
  return lines;
}

function printLosses(losses: readonly Loss[]): void {
  for (const { kind, cause, count } of losses) {
    console.log(`${String(count).padStart(COUNT_WIDTH)}  ${kind}  ${cause}`);
  }
}

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

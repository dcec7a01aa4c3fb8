/** Command that counts the outputs that another target continued. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { defineCommand } from "citty";
import { summarizeOutputs } from "../explain/mod.ts";

/** Summarizes outputs of batches and streams that were continued. */
export const outputs = defineCommand({
  meta: {
    name: "outputs",
    description: "Count outputs that another target continued, and those " +
      "that restarted or were refused, in the logs of all instances. " +
      "Example: nutmegreel outputs entry-1.log ledger-1.log",
  },
  async run({ args }) {
    const files = args._;
    const sources = files.length === 0
      ? [process.stdin]
      : files.map((file) => createReadStream(file));
    const lines: string[] = [];
    for (const input of sources) {
      for await (const line of createInterface({ input })) lines.push(line);
    }
    console.log(JSON.stringify(summarizeOutputs(lines)));
  },
});

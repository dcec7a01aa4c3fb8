/** `npm run soak:start -- --seed N --runs R`: starts in odd states. */
import { appendFileSync } from "node:fs";
import { defineCommand, runMain } from "citty";
import { bundleFleet, bundleFleetAt } from "../../scripts/bundle.ts";
import { Totals } from "../totals.ts";
import { StartSoak, type StartSoakOptions } from "./start_soak.ts";

const MS_PER_S = 1_000;

const main = defineCommand({
  meta: {
    name: "soak:start",
    description:
      "Start machines of a fleet in states of real machines, each run with the next seed",
  },
  args: {
    seed: { type: "string", default: "1", description: "First seed" },
    runs: { type: "string", default: "1", description: "Number of runs" },
    seconds: {
      type: "string",
      default: "20",
      description: "Duration of the starts of a run, in seconds",
    },
    states: { type: "string", description: "States, separated by commas" },
    target: {
      type: "enum",
      options: ["closes", "floods"],
      description: "How one of the engines answers requests",
    },
    old: {
      type: "string",
      description:
        "Commit whose build each machine runs before its first trial",
    },
    log: {
      type: "string",
      description: "Log file; the seed is appended to its name",
    },
  },
  async run({ args }) {
    await bundleFleet();
    const oldProgram = args.old && await bundleFleetAt(args.old);
    const totals = new Totals();
    for (let i = 0; i < Number(args.runs); i += 1) {
      const seed = Number(args.seed) + i;
      const result = await StartSoak.run({
        seed,
        lengthMs: Number(args.seconds) * MS_PER_S,
        states: args.states?.split(","),
        oldProgram,
        faultyTarget: args.target as StartSoakOptions["faultyTarget"],
        log: (line) => {
          if (args.log) appendFileSync(`${args.log}.${seed}`, `${line}\n`);
        },
      });
      totals.add("starts", result.starts).add("refused", result.refused).add(
        "answered",
        result.answered,
      )
        .add("early ends", result.earlyEnds).add(
          "findings",
          result.findings.length,
        )
        .add("failed seeds", result.findings.length > 0 ? 1 : 0);
      for (const finding of result.findings) {
        console.log(`seed ${seed}: ${finding}`);
      }
    }
    totals.print();
    process.exit(totals.get("findings") > 0 ? 1 : 0);
  },
});

runMain(main);

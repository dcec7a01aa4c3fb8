/** `npm run soak:fleet -- --seed N --runs R`: faults on real processes. */
import { appendFileSync } from "node:fs";
import { defineCommand, runMain } from "citty";
import { bundleFleetAt, bundlePrograms } from "../../scripts/bundle.ts";
import { Totals } from "../totals.ts";
import { FleetSoak } from "./fleet_soak.ts";

const MS_PER_S = 1_000;

const main = defineCommand({
  meta: {
    name: "soak:fleet",
    description:
      "Run real processes under random faults, each run with the next seed",
  },
  args: {
    seed: { type: "string", default: "1", description: "First seed" },
    runs: { type: "string", default: "1", description: "Number of runs" },
    seconds: {
      type: "string",
      default: "20",
      description: "Duration of the faults of a run, in seconds",
    },
    controls: {
      type: "string",
      default: "3",
      description: "Number of control instances",
    },
    ledgers: {
      type: "string",
      default: "4",
      description: "Number of ledger instances",
    },
    entries: {
      type: "string",
      default: "3",
      description: "Number of entry instances",
    },
    old: {
      type: "string",
      description:
        "Commit whose build all machines run first; they are upgraded one by one",
    },
    log: {
      type: "string",
      description: "Log file; the seed is appended to its name",
    },
  },
  async run({ args }) {
    await bundlePrograms();
    const oldProgram = args.old && await bundleFleetAt(args.old);
    const first = Number(args.seed);
    const totals = new Totals();
    const violations: number[] = [];
    for (let i = 0; i < Number(args.runs); i += 1) {
      const seed = first + i;
      const result = await FleetSoak.run({
        seed,
        lengthMs: Number(args.seconds) * MS_PER_S,
        controls: Number(args.controls),
        ledgers: Number(args.ledgers),
        entries: Number(args.entries),
        areFencesChecked: seed % 2 === 1,
        oldProgram,
        log: (line) => {
          if (args.log) appendFileSync(`${args.log}.${seed}`, `${line}\n`);
        },
      });
      for (const [name, count] of result.faults) totals.add(name, count);
      totals.add("batches", result.batches);
      totals.add("ended", result.ended);
      totals.add("calls", result.calls);
      totals.add("streams", result.streams);
      totals.add("resume attempts", result.resumeAttempts);
      totals.add("resumed streams", result.resumed);
      totals.add("policies", result.policies);
      if (result.violation === undefined) continue;
      violations.push(seed);
      console.log(`seed ${seed}: ${result.violation}`);
    }
    totals.print();
    console.log(`violations: ${violations.length}`);
    process.exit(violations.length > 0 ? 1 : 0);
  },
});

runMain(main);

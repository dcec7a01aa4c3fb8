/** `npm run soak -- --seed N --minutes M`: repeats randomised runs. */
import { defineCommand, runMain } from "citty";
import { getFaults, RunKind, runOnce } from "./runs.ts";
import { shrink } from "./schedule.ts";
import { Totals } from "./totals.ts";

const MS_PER_MINUTE = 60_000;
const MAX_SHRINK_TRIALS = 200;

const main = defineCommand({
  meta: {
    name: "soak",
    description: "Simulate seeded random faults until the time is over",
  },
  args: {
    seed: { type: "string", default: "1", description: "First seed" },
    minutes: {
      type: "string",
      default: "1",
      description: "Duration in minutes",
    },
    runs: {
      type: "string",
      description: "Number of runs of each kind; replaces the time",
    },
    kind: {
      type: "string",
      description: "Kind of run: control, ledger or outputs; all if absent",
    },
  },
  run({ args }) {
    const kinds = Object.values(RunKind)
      .filter((kind) => args.kind === undefined || kind === args.kind);
    const endsAt = Date.now() + Number(args.minutes) * MS_PER_MINUTE;
    const maxRuns = args.runs === undefined ? Infinity : Number(args.runs);
    const totals = new Totals();
    const first = Number(args.seed);
    for (let i = 0; i < maxRuns; i += 1) {
      if (args.runs === undefined && Date.now() >= endsAt) break;
      for (const kind of kinds) runAndCount(kind, first + i, totals);
    }
    totals.print();
    console.log("violations: 0");
  },
});

function runAndCount(
  kind: RunKind,
  seed: number,
  totals: Totals,
): void {
  const result = runOnce(kind, { seed });
  totals.add(`${kind} schedules`, 1);
  totals.add(`${kind} steps`, result.steps);
  for (const [name, count] of result.faults) {
    totals.add(`${kind} fault ${name}`, count);
  }
  for (const [name, count] of Object.entries(result.work)) {
    totals.add(`${kind} work ${name}`, count);
  }
  if (result.violation === undefined) return;
  console.log(`violation: ${result.violation}`);
  const faults = shrink(getFaults({ seed }), {
    run: (fewer) => runOnce(kind, { seed, faults: fewer }),
    maxTrials: MAX_SHRINK_TRIALS,
  });
  console.log(`kind: ${kind}, seed: ${seed}, shrunk schedule:`);
  for (const fault of faults) console.log(`  ${JSON.stringify(fault)}`);
  process.exit(1);
}

runMain(main);

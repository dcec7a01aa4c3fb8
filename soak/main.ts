/** `npm run soak -- --seed N --minutes M`: long randomised runs. */
import { defineCommand, runMain } from "citty";
import { faultsOf, RunKind, runOnce } from "./runs.ts";
import { shorten } from "./schedule.ts";

const MS_PER_MINUTE = 60_000;
const MAX_SHORTEN_TRIALS = 200;

const main = defineCommand({
  meta: {
    name: "soak",
    description: "Run seeded randomised schedules until the time is over",
  },
  args: {
    seed: { type: "string", default: "1", description: "First seed" },
    minutes: { type: "string", default: "1", description: "Time to run" },
    runs: { type: "string", description: "Runs of each kind, instead of time" },
    kind: { type: "string", description: "control or ledger; both if absent" },
  },
  run({ args }) {
    const kinds = Object.values(RunKind)
      .filter((kind) => args.kind === undefined || kind === args.kind);
    const until = Date.now() + Number(args.minutes) * MS_PER_MINUTE;
    const maxRuns = args.runs === undefined ? Infinity : Number(args.runs);
    const totals = new Map<string, number>();
    const first = Number(args.seed);
    for (let i = 0; i < maxRuns; i += 1) {
      if (args.runs === undefined && Date.now() >= until) break;
      for (const kind of kinds) oneRun(kind, first + i, totals);
    }
    for (const [name, count] of [...totals].sort()) {
      console.log(`${name}: ${count}`);
    }
    console.log("violations: 0");
  },
});

function oneRun(
  kind: RunKind,
  seed: number,
  totals: Map<string, number>,
): void {
  const result = runOnce(kind, { seed });
  add(totals, `${kind} schedules`, 1);
  add(totals, `${kind} steps`, result.steps);
  for (const [name, count] of result.faults) {
    add(totals, `${kind} fault ${name}`, count);
  }
  for (const [name, count] of Object.entries(result.work)) {
    add(totals, `${kind} work ${name}`, count);
  }
  if (result.violation === undefined) return;
  console.log(`violation: ${result.violation}`);
  const faults = shorten(faultsOf({ seed }), {
    run: (fewer) => runOnce(kind, { seed, faults: fewer }),
    maxTrials: MAX_SHORTEN_TRIALS,
  });
  console.log(`kind: ${kind}, seed: ${seed}, shortened schedule:`);
  for (const fault of faults) console.log(`  ${JSON.stringify(fault)}`);
  process.exit(1);
}

function add(totals: Map<string, number>, name: string, count: number): void {
  totals.set(name, (totals.get(name) ?? 0) + count);
}

runMain(main);

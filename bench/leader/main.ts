/** `npm run leader -- [--processes N] [--profile]`: cost of runs and events. */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { defineCommand, runMain } from "citty";
import { build } from "esbuild";
import { OPTIONAL_MODULES, REQUIRE_BANNER } from "../../scripts/bundle.ts";
import { percentileOf } from "../../src/core/statistics/mod.ts";
import type { EnginesMessage } from "./engines.ts";
import type { LeaderProcessOptions, RoundCost } from "./leader_process.ts";
import type { PartProfile } from "./profiler.ts";

/** Number of rounds of each process; the first is that of a cold one. */
const ROUNDS = 6;
const FOLDER = "dist/leader";
/** Memory limits of a ledger instance, as in deploy/system.toml. */
const NODE_OPTIONS = ["--max-semi-space-size=2", "--max-old-space-size=160"];
/** Number of parts and functions that are printed. */
const PRINTED_ROWS = 24;

async function bundle(): Promise<void> {
  await build({
    entryPoints: ["bench/leader/leader_process.ts", "bench/leader/engines.ts"],
    outdir: FOLDER,
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    external: [...OPTIONAL_MODULES],
    banner: { js: REQUIRE_BANNER },
    minifyWhitespace: true,
    minifySyntax: true,
    sourcemap: "external",
    logLevel: "error",
  });
}

function start(program: string): ChildProcess {
  return fork(`${FOLDER}/${program}.mjs`, {
    execArgv: NODE_OPTIONS,
    stdio: ["ignore", "ignore", "inherit", "ipc"],
  });
}

async function runOnce(options: LeaderProcessOptions): Promise<RoundCost[]> {
  const leader = start("leader_process");
  leader.send(options);
  const [costs] = await once(leader, "message");
  return costs as RoundCost[];
}

function printRounds(processes: readonly (readonly RoundCost[])[]): void {
  const [first] = processes;
  first.forEach((_, round) => {
    const costs = processes.map((rounds) => rounds[round]);
    const figure = (get: (cost: RoundCost) => number) =>
      (percentileOf(costs.map(get), 0.5) ?? 0).toFixed(1);
    console.log([
      round === 0 ? "cold " : "round",
      round,
      `start ${figure((c) => c.startMicros)} us`,
      `event ${figure((c) => c.eventMicros)} us`,
      `first second ${figure((c) => c.firstSecondMs)} ms`,
      `longest lag ${figure((c) => c.maxLagMs)} ms`,
      `cpu before ${figure((c) => c.cpuBeforeMs)} ms`,
    ].join("  "));
  });
}

function printParts(name: string, parts: PartProfile = {}): void {
  const rows = Object.entries(parts);
  const print = (isFunction: boolean) => {
    const kind = isFunction ? "functions" : "parts";
    console.log(`\n${name}, us by ${kind}`);
    rows.filter(([key]) => key.startsWith(":") === isFunction)
      .slice(0, PRINTED_ROWS)
      .forEach(([key, us]) =>
        console.log(`${us.toFixed(2).padStart(9)} ${key}`)
      );
  };
  print(false);
  print(true);
}

const main = defineCommand({
  meta: { name: "leader", description: "Cost of runs on a ledger's leader" },
  args: {
    processes: {
      type: "string",
      default: "5",
      description: "Number of processes of which medians are printed",
    },
    profile: {
      type: "boolean",
      default: false,
      description: "Print the time by part, of one process",
    },
  },
  async run({ args }) {
    await bundle();
    const engines = start("engines");
    const [{ addresses }] = await once(engines, "message") as [EnginesMessage];
    const options: LeaderProcessOptions = {
      addresses,
      rounds: ROUNDS,
      isProfiled: args.profile,
      sourceMap: `${FOLDER}/leader_process.mjs.map`,
    };
    const processes: RoundCost[][] = [];
    const count = args.profile ? 1 : Number(args.processes);
    for (let i = 0; i < count; i += 1) processes.push(await runOnce(options));
    printRounds(processes);
    if (args.profile) {
      const rounds = processes[0];
      printParts("cold start", rounds[0].startParts);
      printParts("cold event", rounds[0].eventParts);
      printParts("warm start", rounds.at(-1)?.startParts);
      printParts("warm event", rounds.at(-1)?.eventParts);
    }
    engines.disconnect();
  },
});

runMain(main);

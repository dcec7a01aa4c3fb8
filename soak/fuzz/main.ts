/** `npm run fuzz -- --seed N --minutes M`: fuzzes decoders of outside input. */
import { defineCommand, runMain } from "citty";
import fc from "fast-check";
import { getFuzzProperties } from "./properties.ts";

const MS_PER_MINUTE = 60_000;
const RUNS_PER_PROPERTY = 500;

const main = defineCommand({
  meta: {
    name: "fuzz",
    description: "Fuzz all decoders until the time is over",
  },
  args: {
    seed: { type: "string", default: "1", description: "First seed" },
    minutes: {
      type: "string",
      default: "1",
      description: "Duration in minutes",
    },
  },
  run({ args }) {
    const endsAt = Date.now() + Number(args.minutes) * MS_PER_MINUTE;
    let seed = Number(args.seed);
    let cases = 0;
    while (Date.now() < endsAt) {
      for (const { name, property } of getFuzzProperties()) {
        const result = fc.check(property, { seed, numRuns: RUNS_PER_PROPERTY });
        cases += result.numRuns;
        if (!result.failed) continue;
        console.log(`${name}: seed ${seed}`);
        console.log(JSON.stringify(result.counterexample));
        process.exit(1);
      }
      seed += 1;
    }
    console.log(
      `cases: ${cases}, failed: 0, seeds: ${args.seed} to ${seed - 1}`,
    );
  },
});

runMain(main);

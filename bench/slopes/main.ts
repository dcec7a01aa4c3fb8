/** `npm run slopes -- [--quick] [--only NAME]`: measures cost against size. */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { arch, cpus, totalmem } from "node:os";
import { defineCommand, runMain } from "citty";
import { bundlePrograms } from "../../scripts/bundle.ts";
import {
  changeSeries,
  dataCentreSeries,
  forceSeries,
  neighbourSeries,
  restartSeries,
} from "./cluster_series.ts";
import {
  requestSeries,
  sampleSeries,
  streamSeries,
  targetSeries,
  tokenSeries,
} from "./instance_series.ts";
import { placementSeries } from "./placement_series.ts";
import { RESULTS_FILE, type SlopeResults } from "./results.ts";
import { measureSeries, type Series, type SeriesOptions } from "./series.ts";

const MEASURE_MS = 3_000;
const QUICK_MEASURE_MS = 1_000;
const GIBIBYTE = 1_073_741_824;

function createAllSeries(measureMs: number): SeriesOptions[] {
  const options = { measureMs };
  return [
    targetSeries(options),
    requestSeries(options),
    tokenSeries(options),
    streamSeries(options),
    sampleSeries(),
    neighbourSeries(options),
    dataCentreSeries(options),
    changeSeries(options),
    forceSeries(),
    restartSeries(),
    placementSeries(options),
  ];
}

function describeMachine(): SlopeResults["machine"] {
  return {
    cores: cpus().length,
    model: cpus()[0]?.model ?? "unknown",
    arch: arch(),
    memoryGibibytes: Math.round(totalmem() / GIBIBYTE),
    node: process.version,
  };
}

function readStoredSeries(): Record<string, Series> {
  if (!existsSync(RESULTS_FILE)) return {};
  return (JSON.parse(readFileSync(RESULTS_FILE, "utf8")) as SlopeResults)
    .series;
}

function writeResults(series: Readonly<Record<string, Series>>): void {
  mkdirSync("bench/results", { recursive: true });
  const results: SlopeResults = { machine: describeMachine(), series };
  writeFileSync(RESULTS_FILE, JSON.stringify(results, null, 2) + "\n");
}

const main = defineCommand({
  meta: { name: "slopes", description: "Measure growth of cost with size" },
  args: {
    quick: {
      type: "boolean",
      default: false,
      description: "Short measurements of two sizes each, not stored",
    },
    only: { type: "string", description: "Names of series, comma-separated" },
  },
  async run({ args }) {
    await bundlePrograms();
    const names = args.only?.split(",");
    const measureMs = args.quick ? QUICK_MEASURE_MS : MEASURE_MS;
    const selected = createAllSeries(measureMs)
      .filter((series) => names === undefined || names.includes(series.name));
    const series: Record<string, Series> = args.quick ? {} : readStoredSeries();
    for (const options of selected) {
      const sizes = args.quick ? options.sizes.slice(0, 2) : options.sizes;
      series[options.name] = await measureSeries({ ...options, sizes });
      if (!args.quick) writeResults(series);
    }
  },
});

runMain(main).then(() => process.exit(0));

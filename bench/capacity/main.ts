/** `npm run capacity [-- --check]`: writes the tables of docs/CAPACITY.md. */
import { readFileSync, writeFileSync } from "node:fs";
import type { SlopeResults } from "../slopes/results.ts";
import { RESULTS_FILE } from "../slopes/results.ts";
import type { Series } from "../slopes/series.ts";
import { type Estimate, estimatesOf } from "./estimates.ts";

const PAGE = "docs/CAPACITY.md";
const BEGIN = "<!-- tables: written by npm run capacity -->";
const END = "<!-- end of tables -->";

/** Gets the tables of the page. */
export function tablesOf(results: SlopeResults): string {
  const { machine, series } = results;
  return [
    `Measured on ${machine.cores} cores (${machine.model}), ` +
    `${machine.memoryGibibytes} GiB, node ${machine.node}.`,
    "",
    "### At the target size",
    "",
    "| role | figure | worked out | limit | within | from | carried by |",
    "| --- | --- | --- | --- | --- | --- | --- |",
    ...estimatesOf(series).map(estimateRow),
    "",
    "### Measured slopes",
    "",
    "| series | figure | sizes | at size 0 | slope | R² | largest residual |",
    "| --- | --- | --- | --- | --- | --- | --- |",
    ...Object.values(series).flatMap(slopeRows),
  ].join("\n");
}

/** Gets the page with new tables. */
export function pageWith(page: string, tables: string): string {
  const begin = page.indexOf(BEGIN);
  const end = page.indexOf(END);
  if (begin < 0 || end < begin) throw new Error(`No marks in ${PAGE}`);
  const head = page.slice(0, begin + BEGIN.length);
  return `${head}\n\n${tables}\n\n${page.slice(end)}`;
}

function estimateRow(estimate: Estimate): string {
  const { role, figure, value, limit, from, mechanism } = estimate;
  const within = limit === undefined ? "" : value <= limit ? "yes" : "**no**";
  const cells = [
    role,
    figure,
    format(value),
    limit === undefined ? "" : format(limit),
    within,
    from,
    mechanism,
  ];
  return `| ${cells.join(" | ")} |`;
}

function slopeRows(series: Series): string[] {
  const sizes = series.rows.map((row) => row.x).join(", ");
  return Object.entries(series.fits).map(([figure, fit]) => {
    const cells = [
      `${series.name} (${series.size})`,
      figure,
      sizes,
      format(fit.base),
      format(fit.slope),
      fit.r2.toFixed(2),
      format(fit.residual),
    ];
    return `| ${cells.join(" | ")} |`;
  });
}

function format(value: number): string {
  if (Math.abs(value) >= 100) return value.toFixed(0);
  return Number(value.toPrecision(3)).toString();
}

function main(): number {
  const results = JSON.parse(
    readFileSync(RESULTS_FILE, "utf8"),
  ) as SlopeResults;
  const page = readFileSync(PAGE, "utf8");
  const wanted = pageWith(page, tablesOf(results));
  if (process.argv.includes("--check")) {
    if (page === wanted) return 0;
    console.error(`${PAGE} and ${RESULTS_FILE} differ: run npm run capacity`);
    return 1;
  }
  writeFileSync(PAGE, wanted);
  return 0;
}

process.exit(main());

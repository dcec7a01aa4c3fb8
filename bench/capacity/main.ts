/** `npm run capacity [-- --check]`: writes the tables of docs/CAPACITY.md. */
import { readFileSync, writeFileSync } from "node:fs";
import type { SlopeResults } from "../slopes/results.ts";
import { RESULTS_FILE } from "../slopes/results.ts";
import type { Series } from "../slopes/series.ts";
import { createEstimates, type Estimate } from "./estimates.ts";

const PAGE = "docs/CAPACITY.md";
const TABLES_BEGIN = "<!-- tables: written by npm run capacity -->";
const TABLES_END = "<!-- end of tables -->";

/** Renders the tables of the page as Markdown. */
export function renderTables(results: SlopeResults): string {
  const { machine, series } = results;
  return [
    `Measured on ${machine.cores} cores (${machine.model}), ` +
    `${machine.memoryGibibytes} GiB, node ${machine.node}.`,
    "",
    "### At the target size",
    "",
    "| role | figure | worked out | limit | within | from | carried by |",
    "| --- | --- | --- | --- | --- | --- | --- |",
    ...createEstimates(series).map(renderEstimateRow),
    "",
    "### Measured slopes",
    "",
    "| series | figure | sizes | at size 0 | slope | R² | largest residual |",
    "| --- | --- | --- | --- | --- | --- | --- |",
    ...Object.values(series).flatMap(renderSlopeRows),
  ].join("\n");
}

/**
 * Replaces the tables of the page.
 *
 * @throws Error if the markers around the tables are missing.
 */
export function replaceTables(page: string, tables: string): string {
  const begin = page.indexOf(TABLES_BEGIN);
  const end = page.indexOf(TABLES_END);
  if (begin < 0 || end < begin) throw new Error(`No table markers in ${PAGE}`);
  const beforeTables = page.slice(0, begin + TABLES_BEGIN.length);
  return `${beforeTables}\n\n${tables}\n\n${page.slice(end)}`;
}

function renderEstimateRow(estimate: Estimate): string {
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

function renderSlopeRows(series: Series): string[] {
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
  const expectedPage = replaceTables(page, renderTables(results));
  if (process.argv.includes("--check")) {
    if (page === expectedPage) return 0;
    console.error(
      `${PAGE} does not match ${RESULTS_FILE}: run npm run capacity`,
    );
    return 1;
  }
  writeFileSync(PAGE, expectedPage);
  return 0;
}

process.exit(main());
